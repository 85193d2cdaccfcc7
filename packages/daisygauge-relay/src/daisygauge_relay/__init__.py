"""Balancers and agents of relayed flows: connections that the upstream itself ends."""

import lazy_loader

# A process pays at its start only for the modules that its role uses.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_agent": ["RelayAgent"],
        "_balancer": ["RelayBalancer"],
        "_events": ["RELAY_EVENTS"],
        "_exit_codes": ["EXIT_MISUSE"],
        "_main": ["run_relay"],
        "_packet": ["MalformedPacketError", "PacketCodec", "RelayedPacket"],
        "_platform": ["Platform"],
        "_settings": [
            "Address",
            "RelayAgentSettings",
            "RelayBalancerSettings",
            "RelaySettings",
            "RelaySettingsError",
            "load_relay_settings",
            "parse_address",
            "parse_relay_settings",
        ],
    },
)
