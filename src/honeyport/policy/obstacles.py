"""Reasons why no further attempt of a request follows, as they are logged."""

import enum


class Obstacle(enum.StrEnum):
    """A reason why a request is not sent once more."""

    NOT_RETRYABLE = 'not_retryable'
    NOT_REPEATABLE = 'not_repeatable'
    NO_OFFERS_LEFT = 'no_offers_left'
    NO_GATEWAYS_LEFT = 'no_gateways_left'
    NO_BUDGET_LEFT = 'no_budget_left'
    NO_TIME_LEFT = 'no_time_left'
    MAY_CRASH_INSTANCES = 'may_crash_instances'
    CALLERS_GATEWAY_DECIDES = 'callers_gateway_decides'
    OTHER_GATEWAY_DECIDES = 'other_gateway_decides'
    ALL_SILENT = 'all_silent'
    JUST_RESUMED = 'just_resumed'
    CANNOT_BE_PREPARED = 'cannot_be_prepared'
