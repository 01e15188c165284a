// SPDX-License-Identifier: BSD-2-Clause
// The table of waiting requests that `postpaddle waiting` prints.
#include <postpaddle/waiting_table.h>

#include <catch2/catch.hpp>

#include <optional>
#include <sstream>

using namespace postpaddle;
using nlohmann::json;

namespace {

/// State of a host at which requests wait for `busy` only.
json make_state() {
    const json engine_row = {
        {"request", "request-1"},
        {"organisation", ""},
        {"route", "chat"},
        {"rank", 3},
        {"rank_now", 2},
        {"ahead_on_all_hosts", 41},
        {"waited_ms", 812.7},
        {"time_left_ms", 9'000.2},
        {"can_be_in_time", false},
        {"is_beyond_share", true},
        {"is_protected", false},
        {"last_decision",
         {{"has_room", false}, {"free", 0.5}, {"waiting_ahead", 40}, {"expected_wait_ms", 1'234.5}}}};
    const json plain_row = {
        {"request", "request-2"}, {"organisation", "large"}, {"route", "pay"},       {"rank", 1},
        {"waited_ms", 20},        {"time_left_ms", 800},     {"can_be_in_time", {}}, {"due_in_ms", {}},
        {"last_decision", {}}};
    return {{"host", "front"},
            {"instances", {{"i-1", {{"service", "busy"}}}, {"i-2", {{"service", "idle"}}}}},
            {"waiting",
             {{"busy",
               {{"engine_slot",
                 {{"total", 70},
                  {"total_on_other_hosts", 12},
                  {"other_hosts", 3},
                  {"rows", json::array({engine_row})}}},
                {"send_slot", {{"total", 1}, {"rows", json::array({plain_row})}}}}}}}};
}

std::optional<std::string> print(const json& state, const std::string& service) {
    std::ostringstream out;
    if (!utility::print_waiting(out, state, service))
        return std::nullopt;
    return out.str();
}

} // namespace

// Guards against a table that hides how many requests are not in it, and against facts that are lost.
TEST_CASE("the table has the requests that wait, why they do and how many are not listed") {
    const std::string text = print(make_state(), "busy").value();
    CHECK(text.find("busy: 70 requests wait for an engine slot; 12 more on 3 other hosts\n") !=
          std::string::npos);
    CHECK(text.find("late     beyond its share, no room, 0 free, 40 were ahead, expected wait 1234 ms\n") !=
          std::string::npos);
    CHECK(text.find("3        2        41       812      9000 ") != std::string::npos);
    CHECK(text.find("and 69 more behind these\n") != std::string::npos);
    CHECK(print(make_state(), "") == text);
}

// Guards against a command that fails on the values that a host leaves out.
TEST_CASE("the table has a request whose load, due time and decision are not known") {
    const std::string text = print(make_state(), "busy").value();
    CHECK(text.find("busy: 1 requests wait until an upstream may be sent them\n") != std::string::npos);
    CHECK(text.find("1        -        -        20       800      unknown  -\n") != std::string::npos);
}

TEST_CASE("the table says so if nothing waits, if the service is not known or the host reports no waits") {
    json state = make_state();
    CHECK(print(state, "idle") == "no request waits at front for idle\n");
    CHECK(print(state, "none") ==
          "no request waits at front for none, and it knows no instance of that service\n");
    state["waiting"] = json::object();
    CHECK(print(state, "") == "no request waits at front\n");
    state.erase("waiting");
    CHECK_FALSE(print(state, ""));
}
