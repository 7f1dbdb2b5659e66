from tests.conftest import _quiet_log, pytest_pyfunc_call

__all__ = ["_quiet_log", "pytest_pyfunc_call"]
