"""Settings of small deployments, in the form of the router's configuration."""


def request_class(name, idempotency, deadline_ms, goal_ms):
    return {
        "name": name, "idempotency": idempotency, "key_scope": "all", "stream": True,
        "deadline_us": deadline_ms * 1000.0, "goal_time_us": goal_ms * 1000.0,
        "dedup_window_us": 5_000_000.0, "late_share": 0.2, "points": 1.0,
    }


def settings(classes, resume, pin_limit_ms, drain_grace_ms, connect_timeout_ms=250):
    return {
        "balancers": 3, "me": 0, "az": "here", "zones": ["here"], "tier": 0, "stages": ["models"],
        "kinds": ["prefill", "decode"], "period_us": 4000, "membership_mode": "push",
        "classes": classes, "tenants": [], "weight_source": "rough", "worth_by": "work",
        "allowed": {
            "cancelling": True, "probing": False, "retry_after": True, "peers": False,
            "parallel_tries": False, "max_retry_after_us": 500_000, "max_attempts": 6,
            "connect_timeout_us": connect_timeout_ms * 1000.0, "idle_close_us": 15_000_000,
        },
        "domain": {
            "ahead": True, "resume": resume, "self_prefill": False,
            "pin_limit_us": pin_limit_ms * 1000.0, "stage_of_kind": ["read", "write"],
        },
        "report": {"how": "silent", "columns": []},
        "rules": {
            "answer_slack_us": 16_000, "drain_grace_us": drain_grace_ms * 1000.0,
            "fall_multiple": 4.0, "fall_us": 3_000_000, "start_capacity": 0.32,
            "warm_up_us": 14_000_000,
        },
    }


def tejo_registos():
    """Clients do not request the remainder of a broken stream."""
    classes = [
        request_class("consulta", "safe", 7_500, 1_500),
        request_class("averbamento", "unsafe", 3_000, 800),
    ]
    return settings(classes, resume=False, pin_limit_ms=500, drain_grace_ms=500)


def lakeshore_parts():
    """Clients request the remainder of a broken stream."""
    classes = [
        request_class("parts-lookup", "safe", 6_000, 1_500),
        request_class("parts-order", "unsafe", 15_000, 3_000),
    ]
    return settings(classes, resume=True, pin_limit_ms=300, drain_grace_ms=250)
