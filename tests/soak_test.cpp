// The soak's own parts: every check must fail on records that break its rule, schedules and random numbers
// must be the same for a seed. The daemons themselves are soaked by the test soak_small.
#include "fault_proxy/held_port.hpp"
#include "soak/checks.hpp"
#include "soak/replace_file.hpp"
#include "soak/report.hpp"
#include "soak/schedule.hpp"
#include "soak/stall_watch.hpp"

#include <arpa/inet.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wharf;
using namespace wharf::soak;

namespace {
const Bounds bounds;

/// A request that was answered by a runner, and its run.
Records one_served(bool is_repeatable = true) {
  Records records;
  records.began = seconds(100);
  records.troubles_over = seconds(150);
  records.ended = seconds(180);
  RequestRecord request;
  request.id = "q1";
  request.process = "edge-1";
  request.is_repeatable = is_repeatable;
  request.sent_whole = seconds(120);
  request.ended = request.sent_whole + milliseconds(50);
  request.end = RequestEnd::answered;
  request.status = 200;
  request.is_sealed = true;
  request.answered_for = "q1";
  records.requests.push_back(request);
  records.runs.push_back({"q1", "run-1", "again", request.sent_whole, request.ended, request.ended, false});
  return records;
}

void check_one(const std::vector<Finding> &findings, const char *rule) {
  LONGS_EQUAL(1, findings.size());
  STRCMP_EQUAL(rule, findings.front().rule.c_str());
}
} // namespace

TEST_GROUP(Soak){};

TEST(Soak, a_good_run_has_no_findings) {
  Records records = one_served();
  records.changes.push_back({5, seconds(110), seconds(111), false, 200, 0});
  records.reads.push_back({seconds(112), seconds(113), 200, 5});
  records.final_version = 5;
  LONGS_EQUAL(0, check_all(records, bounds).size());
}

TEST(Soak, a_request_that_runs_twice_is_found_unless_it_may) {
  for (const bool is_repeatable : {false, true}) {
    Records records = one_served(is_repeatable);
    records.runs.push_back(records.runs.front());
    LONGS_EQUAL(is_repeatable ? 0 : 1, check_runs_once(records).size());
  }
}

TEST(Soak, answers_of_other_requests_and_of_no_runner_are_found) {
  Records other = one_served();
  other.requests.front().answered_for = "q2";
  check_one(check_answers_belong(other), "answers");
  Records unsealed = one_served();
  unsealed.requests.front().is_sealed = false;
  check_one(check_answers_belong(unsealed), "answers");
}

TEST(Soak, a_refusal_of_what_ran_is_found) {
  Records records = one_served(false);
  records.requests.front().status = 503;
  check_one(check_promises(records), "promises");
}

TEST(Soak, a_request_lost_around_planned_work_is_found_but_not_beside_a_kill) {
  Records records = one_served();
  records.requests.front().end = RequestEnd::closed;
  records.troubles.push_back({"restart", seconds(119), seconds(122), {"edge-1"}, true, false});
  check_one(check_nothing_lost(records, bounds), "lost");
  records.troubles.push_back({"kill", seconds(117), seconds(118), {"edge-2"}, false, false});
  LONGS_EQUAL(0, check_nothing_lost(records, bounds).size());
}

TEST(Soak, a_request_that_was_never_passed_on_is_lost_only_when_closed_late) {
  Records records = one_served();
  records.runs.clear();
  RequestRecord &request = records.requests.front();
  request.end = RequestEnd::closed;
  LONGS_EQUAL(0, check_nothing_lost(records, bounds).size());
  request.ended = request.sent_whole + milliseconds(300);
  check_one(check_nothing_lost(records, bounds), "lost");
  request.is_first_in_line = false;
  LONGS_EQUAL(0, check_nothing_lost(records, bounds).size());
}

TEST(Soak, a_request_without_an_answer_past_its_deadline_is_found) {
  Records records = one_served();
  records.requests.front().end = RequestEnd::overdue;
  check_one(check_final_answers(records, bounds), "final answers");
}

TEST(Soak, work_that_goes_on_after_its_client_left_is_found) {
  Records records = one_served();
  records.requests.clear();
  records.runs.clear();
  for (int at = 0; at < 8; ++at) {
    RequestRecord request;
    request.id = "q" + std::to_string(at);
    request.end = RequestEnd::given_up;
    request.sent_whole = seconds(120);
    request.ended = seconds(121);
    records.requests.push_back(request);
    const Instant ended = at < 4 ? seconds(123) : seconds(121);
    records.runs.push_back({request.id, "run-1", "again", seconds(120), ended, seconds(123), false});
  }
  check_one(check_work_ends_with_client(records, bounds), "gone");
  for (RunRecord &run : records.runs) run.ended = seconds(121);
  LONGS_EQUAL(0, check_work_ends_with_client(records, bounds).size());
}

TEST(Soak, refusals_by_runners_are_found_also_while_another_machine_is_cut_off) {
  Records records = one_served();
  for (int at = 0; at < 12; ++at)
    records.runs.push_back({"q1", "run-1", "again", seconds(120) + milliseconds(at * 400), 0, 0, true});
  check_one(check_runner_limit(records, bounds), "limit");
  records.troubles.push_back({"cut-machine", seconds(112), seconds(130), {"edge-3"}, false, true});
  check_one(check_runner_limit(records, bounds), "limit");
  records.troubles.front().processes = {"edge-1"};
  LONGS_EQUAL(0, check_runner_limit(records, bounds).size());
  records.troubles.front() = {"kill", seconds(118), seconds(119), {"edge-3"}, false, false};
  LONGS_EQUAL(0, check_runner_limit(records, bounds).size());
}

TEST(Soak, configuration_that_is_lost_old_invalid_or_taken_twice_is_found) {
  Records records = one_served();
  records.changes.push_back({5, seconds(110), seconds(111), false, 200, 0});
  check_one(check_configuration(records, bounds), "configuration");
  records.final_version = 5;
  LONGS_EQUAL(0, check_configuration(records, bounds).size());
  records.reads.push_back({seconds(112), seconds(113), 200, 4});
  check_one(check_configuration(records, bounds), "configuration");
  records.reads.clear();
  records.changes.push_back({5, seconds(114), seconds(115), true, 200, 0});
  check_one(check_configuration(records, bounds), "configuration");
  records.changes.pop_back();
  records.changes.front().race = 1;
  records.changes.push_back({4, seconds(110), seconds(111), false, 200, 1});
  check_one(check_configuration(records, bounds), "configuration");
}

// Guards against: a change under way drops what the one that it builds on holds.
TEST(Soak, a_version_read_with_other_routes_than_were_sent_is_found) {
  ChangeRecord whole{5, seconds(110), seconds(111), false, 200, 0};
  whole.routes = {"again", "probe-5"};
  ChangeRecord named{7, seconds(110), seconds(111), false, 200, 0, 5, true, {"probe-7"}, {"again"}};
  for (const std::vector<std::string> &read :
       {std::vector<std::string>{"probe-5", "probe-7"}, {"probe-7"}, {"again", "probe-5", "probe-7"}}) {
    Records records = one_served();
    records.changes = {named, whole};
    records.reads.push_back({seconds(112), seconds(113), 200, 7, read});
    const bool is_right = read == std::vector<std::string>{"probe-5", "probe-7"};
    LONGS_EQUAL(is_right ? 0 : 1, check_content(records).size());
  }
}

// Guards against: a leader that has been replaced orders starts or stops beside its successor.
TEST(Soak, orders_under_an_older_fence_and_two_holders_of_one_are_found_unless_just_thawed) {
  const auto found = [](OrderRecord last, const std::vector<TroubleRecord> &troubles) {
    Records records;
    records.orders = {{seconds(1), true, "s", "control-1", 1}, {seconds(2), true, "s", "control-2", 2}};
    records.orders.push_back(std::move(last));
    records.troubles = troubles;
    return check_order_fences(records, bounds);
  };
  check_one(found({seconds(3), true, "s", "control-1", 1}, {}), "one holder");
  check_one(found({seconds(3), true, "s", "control-1", 2}, {}), "one holder");
  LONGS_EQUAL(0, found({seconds(3), true, "s", "control-2", 2}, {}).size());
  LONGS_EQUAL(0, found({seconds(3), true, "s", "control-1", 3}, {}).size());
  LONGS_EQUAL(0, found({seconds(3), true, "other", "control-1", 1}, {}).size());
  LONGS_EQUAL(0, found({seconds(3), false, "s", "control-1", 1}, {}).size());
  const TroubleRecord freeze{"freeze",      seconds(1), seconds(3) - milliseconds(299),
                             {"control-1"}, false,      false};
  LONGS_EQUAL(0, found({seconds(3), true, "s", "control-1", 1}, {freeze}).size());
  check_one(found({seconds(3) + milliseconds(1), true, "s", "control-1", 1}, {freeze}), "one holder");
}

TEST(Soak, a_route_that_is_not_in_force_in_time_is_found) {
  Records records = one_served();
  records.changes.push_back({5, seconds(110), seconds(111), false, 200, 0});
  records.requests.front().needs_version = 5;
  records.requests.front().status = 404;
  check_one(check_in_force(records, bounds), "in force");
  records.changes.front().acknowledged = seconds(118);
  LONGS_EQUAL(0, check_in_force(records, bounds).size());
}

TEST(Soak, service_that_does_not_come_back_is_found) {
  Records records = one_served();
  for (int at = 0; at < 40; ++at) {
    RequestRecord request = records.requests.front();
    request.sent_whole = seconds(165);
    request.status = at < 20 ? 200 : 503;
    records.requests.push_back(request);
  }
  check_one(check_recovery(records, bounds), "recovery");
}

TEST(Soak, ended_processes_damaged_folders_and_growth_are_found) {
  Records records = one_served();
  records.ended_by_themselves = {"edge-1"};
  check_one(check_processes(records, bounds), "processes");
  records.ended_by_themselves.clear();
  records.damaged = {"control-1.data"};
  check_one(check_processes(records, bounds), "processes");
  records.damaged.clear();
  records.usage = {{"edge-1", 1, seconds(150), 10'000, 50, 10}, {"edge-1", 1, seconds(179), 10'000, 50, 10}};
  LONGS_EQUAL(0, check_processes(records, bounds).size());
  for (const UsageSample &grown : {UsageSample{"edge-1", 1, seconds(179), 40'000, 50, 10},
                                   UsageSample{"edge-1", 1, seconds(179), 10'000, 400, 10},
                                   UsageSample{"edge-1", 1, seconds(179), 10'000, 50, 30}}) {
    records.usage.back() = grown;
    check_one(check_processes(records, bounds), "processes");
  }
}

TEST(Soak, the_random_numbers_of_a_seed_never_change) {
  Random random(42);
  LONGS_EQUAL(755155, random.between(0, 999'999));
  LONGS_EQUAL(639031, random.between(0, 999'999));
  LONGS_EQUAL(752145, random.between(0, 999'999));
}

TEST(Soak, a_seed_always_gives_the_same_schedule_and_planned_ones_hold_planned_work_only) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const bool is_planned_only_run : {false, true}) {
      ScheduleOptions options;
      options.is_planned_only = is_planned_only_run;
      Random first(seed), second(seed);
      const auto left = make_schedule(first, options), right = make_schedule(second, options);
      LONGS_EQUAL(left.size(), right.size());
      CHECK(left.size() >= 10);
      for (std::size_t at = 0; at < left.size(); ++at) {
        CHECK(left[at].kind == right[at].kind);
        CHECK(left[at].at == right[at].at);
        CHECK(left[at].target == right[at].target);
        CHECK(left[at].at + left[at].lasts <= options.length);
        CHECK(!is_planned_only_run || is_planned(left[at].kind));
      }
    }
  }
}

TEST(Soak, a_schedule_of_all_troubles_also_strikes_links) {
  std::size_t isolated = 0, reset = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    const std::vector<Trouble> list = make_schedule(random, ScheduleOptions{});
    for (std::size_t at = 1; at < list.size(); ++at) CHECK(list[at - 1].at <= list[at].at);
    for (const Trouble &trouble : list) {
      isolated += trouble.kind == TroubleKind::isolate_machine ? 1 : 0;
      reset += trouble.kind == TroubleKind::reset_connections ? 1 : 0;
    }
  }
  CHECK(isolated >= 40);
  CHECK(reset >= 60);
}

// Six requests at three edge processes counted as overdue in the same millisecond: the soak itself had not
// run.
TEST(Soak, nothing_counts_as_overdue_right_after_a_stall_of_the_soak_itself) {
  StallWatch stalls;
  Instant now = seconds(5);
  CHECK(stalls.may_judge(now));
  CHECK(stalls.may_judge(now += milliseconds(20)));
  CHECK(!stalls.may_judge(now += milliseconds(700)));
  CHECK(stalls.may_judge(now += milliseconds(20)));
  LONGS_EQUAL(milliseconds(700), stalls.longest());
}

TEST(Soak, a_held_port_is_given_to_nobody_but_who_names_it) {
  const HeldPort held;
  for (int at = 0; at < 200; ++at) CHECK(HeldPort().port() != held.port());
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  place.sin_port = htons(static_cast<std::uint16_t>(held.port()));
  LONGS_EQUAL(0, bind(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place));
  LONGS_EQUAL(0, listen(descriptor, 1));
  close(descriptor);
}

// Guards against: a daemon that starts while its options are written anew reads a part of them and ends.
TEST(Soak, who_reads_a_file_while_it_is_replaced_gets_the_old_text_whole) {
  char path[] = "/tmp/wharf-soak-XXXXXX";
  const int made = mkstemp(path);
  CHECK(made >= 0);
  close(made);
  replace_file(path, "first=1\nsecond=2\n");
  std::ifstream reader(path);
  replace_file(path, "other=1\n");
  const std::string read{std::istreambuf_iterator<char>(reader), std::istreambuf_iterator<char>()};
  STRCMP_EQUAL("first=1\nsecond=2\n", read.c_str());
  std::ifstream later(path);
  const std::string replaced{std::istreambuf_iterator<char>(later), std::istreambuf_iterator<char>()};
  STRCMP_EQUAL("other=1\n", replaced.c_str());
  unlink(path);
}
