import uvloop


def pytest_asyncio_loop_factories(config, item):
    """Tests of the daemons run on their event loop."""
    return {"uvloop": uvloop.new_event_loop}
