"""Invariants and targets that must hold in the simulated scenarios. Seeds are fixed."""

from functools import cache

import pytest

from heatheryoke.core import claims
from heatheryoke.core.messages import ClaimVerdict
from heatheryoke.measure.figures import Figures
from heatheryoke.measure.scenarios import SCENARIOS, run_scenario

SEED = 1
TARGET_S = 5.0
TARGET_IMBALANCE = 1.10
PLANNED_SCENARIOS = ("steady", "rolling-balancers", "rolling-agents", "drain", "inventory-moves")


@cache
def measured(
    scenario: str, deployment: str, policy: str = "heatheryoke", seed: int = SEED
) -> Figures:
    return run_scenario(scenario, deployment, policy, seed)


@pytest.mark.parametrize("scenario", SCENARIOS)
class TestEveryScenario:
    def test_no_packet_reaches_another_service(self, scenario):
        assert measured(scenario, "sangam").misdelivered == 0

    def test_no_write_runs_twice(self, scenario):
        assert measured(scenario, "sangam").doubled == 0

    def test_no_refusal_is_false(self, scenario):
        assert measured(scenario, "sangam").false_refusals == 0

    def test_no_answer_is_mixed_up(self, scenario):
        assert measured(scenario, "sangam").mixed_answers == 0

    def test_no_configuration_reverts(self, scenario):
        assert measured(scenario, "sangam").epochs_reverted == 0

    def test_a_configuration_is_in_force_within_the_target(self, scenario):
        lag = measured(scenario, "sangam").configuration_lag_s
        assert lag is None or lag <= TARGET_S

    def test_a_withdrawn_domain_is_silent_within_the_target(self, scenario):
        silence = measured(scenario, "sangam").withdrawn_silence_s
        assert silence is None or silence <= TARGET_S


@pytest.mark.parametrize("scenario", PLANNED_SCENARIOS)
class TestPlannedChanges:
    def test_break_no_feed(self, scenario):
        assert measured(scenario, "sangam").broken_flows == 0

    def test_cut_no_request(self, scenario):
        assert measured(scenario, "sangam").cut_requests == 0

    def test_keep_to_the_slots(self, scenario):
        assert measured(scenario, "sangam").over_slots == 0


class TestLargerDeployment:
    def test_rolling_upgrade_of_agents_breaks_nothing(self):
        figures = measured("rolling-agents", "sundarban")
        assert (figures.broken_flows, figures.cut_requests, figures.doubled) == (0, 0, 0)
        assert figures.over_slots == 0

    def test_moved_homes_break_nothing(self):
        figures = measured("inventory-moves", "sundarban")
        assert (figures.broken_flows, figures.cut_requests, figures.doubled) == (0, 0, 0)

    def test_feeds_survive_a_cold_start(self):
        assert measured("cold-start", "sundarban").broken_flows == 0

    def test_a_cold_upstream_is_not_overloaded(self):
        assert measured("cold-start", "sundarban").cold_overloads == 0

    def test_a_cold_upstream_is_not_overloaded_with_another_seed(self):
        assert measured("cold-start", "sundarban", seed=4).cold_overloads == 0


class TestFairness:
    @pytest.mark.parametrize("deployment", ["sundarban", "sangam"])
    def test_work_is_even_in_the_lunch_hour(self, deployment):
        figures = measured("lunch-hour", deployment)
        assert figures.imbalance <= TARGET_IMBALANCE
        assert figures.imbalance_flows <= TARGET_IMBALANCE
        assert figures.over_slots == 0

    def test_a_cold_upstream_of_one_slot_is_not_overloaded(self):
        assert measured("cold-start", "sangam").cold_overloads == 0


class TestStorms:
    """Storms of faults by seeds that were drawn at random; each that fails is kept."""

    @pytest.mark.parametrize(("deployment", "seed"), [("sundarban", 40966)])
    def test_no_write_runs_twice(self, deployment, seed):
        assert measured("storm", deployment, seed=seed).doubled == 0

    @pytest.mark.parametrize(("deployment", "seed"), [("sundarban", 40964)])
    def test_no_refusal_is_false(self, deployment, seed):
        assert measured("storm", deployment, seed=seed).false_refusals == 0

    @pytest.mark.parametrize(
        ("deployment", "seed"),
        [
            ("sundarban", 40961),
            ("sundarban", 40963),
            ("sundarban", 40966),
            ("sangam", 40962),
            ("sangam", 40963),
            ("sangam", 40966),
        ],
    )
    def test_break_no_feed_that_no_withdrawal_excuses(self, deployment, seed):
        assert measured("storm", deployment, seed=seed).broken_flows == 0


class TestFiguresDetectFaults:
    """Check that the figures detect the faults they stand for, and do not vary between runs."""

    def test_without_a_directory_feeds_break(self):
        assert measured("drain", "sangam", "naive").broken_flows > 0

    def test_without_limits_cold_upstreams_fall_over(self):
        assert measured("cold-start", "sundarban", "naive").cold_overloads > 0

    def test_without_limits_slots_are_exceeded(self):
        assert measured("lunch-hour", "sangam", "naive").over_slots > 0

    def test_without_claims_writes_run_twice(self, monkeypatch):
        original_on_request = claims.Witness.on_request

        def grant(witness, request, now):
            reply = original_on_request(witness, request, now)
            return reply._replace(verdict=ClaimVerdict.GRANTED)

        monkeypatch.setattr(claims.Witness, "on_request", grant)
        assert run_scenario("storm", "sangam", "heatheryoke", SEED).doubled > 0

    def test_the_same_seed_gives_the_same_figures(self):
        again = run_scenario("drain", "sangam", "heatheryoke", SEED)
        assert again == measured("drain", "sangam")
