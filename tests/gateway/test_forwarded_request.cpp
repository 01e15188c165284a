// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/forwarded_request.h>
#include <gateway/stream_origin/stream_origin_message.h>

#include <catch2/catch.hpp>

#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;
using gateway::forwarding_outcome;

namespace {

gateway::forwarded_request make_request() {
    return {.from = {"host-1"},
            .settings_version = 7,
            .service = "plain",
            .organisation = {"studio"},
            .fingerprint = {.high = 0xffff'ffff'ffff'ffff, .low = 3},
            .time_left = 1'234ms,
            .since_first_try = 56ms,
            .resume_after = 12,
            .max_attempts = 2,
            .accepted_prompts = 1,
            .arrivals = {.counted = 3, .is_prompt_read = true},
            .paid_retries = 1,
            .message = {"POST",
                        "/once/?a=b",
                        {{"Host", "cluster.example"}, {"X-Attempt-Id", "id\xff"}},
                        std::string("\0binary\xff\r\n", 10)}};
}

} // namespace

TEST_CASE("a forwarded request arrives as it was, whatever bytes it holds") {
    auto request = make_request();
    CHECK(gateway::decode_forwarded(gateway::encode_forwarded(request)) == request);
    request.software_version = "v2";
    CHECK(gateway::decode_forwarded(gateway::encode_forwarded(request)) == request);
    request.suspects = "[[1,2,false,null,[[3,40,0]]]]";
    CHECK(gateway::decode_forwarded(gateway::encode_forwarded(request)) == request);
    request.resume_after.reset();
    request.organisation = {};
    CHECK(gateway::decode_forwarded(gateway::encode_forwarded(request)) == request);
}

TEST_CASE("malformed forwarded requests are rejected") {
    const std::string bytes = gateway::encode_forwarded(make_request());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE_FALSE(gateway::decode_forwarded(bytes.substr(0, size)));
    std::mt19937_64 random(5);
    for (int round = 0; round < 2'000; ++round) {
        std::string changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        (void)gateway::decode_forwarded(changed);
    }
    auto nobody = make_request();
    nobody.from = {};
    CHECK_FALSE(gateway::decode_forwarded(gateway::encode_forwarded(nobody)));
}

TEST_CASE("the label of an answer replaces one that an upstream wrote, and does not reach the caller") {
    const auto outcome = GENERATE(forwarding_outcome::answered, forwarding_outcome::refused,
                                  forwarding_outcome::may_have_run, forwarding_outcome::unreachable,
                                  forwarding_outcome::unavailable, forwarding_outcome::other_settings);
    const auto suspects = GENERATE(std::string(), std::string("[[1,2,false,null,[[3,40,0]]]]"));
    wire::response_head head{200,
                             {{"postpaddle-forwarding", "unreachable"},
                              {"postpaddle-forwarding-suspects", "an upstream's"},
                              {"postpaddle-forwarding-arrivals", "0,0,9"},
                              {"X-Response-Seal", "s"}}};
    const auto arrivals =
        GENERATE(std::optional<decision::told_arrivals>(),
                 std::optional(decision::told_arrivals{.account = {.counted = 12, .is_prompt_read = true},
                                                       .unused_retries = 1}));
    const gateway::forwarding_label label = {
        .outcome = outcome, .attempts = 2, .suspects = suspects, .arrivals = arrivals};
    gateway::set_forwarding_label(head.headers, label);
    CHECK(gateway::take_forwarding_label(head) == label);
    CHECK(head.headers == wire::http_headers{{"X-Response-Seal", "s"}});
}

TEST_CASE("arrivals that can't be read are unknown") {
    for (const char* text : {"", "1", "1,0", "1,0,", "1,0,0,", "1,0,-1", "-1,0,0", "a,0,0", "1;0;0"}) {
        wire::response_head head{
            502, {{"Postpaddle-Forwarding", "may_have_run"}, {"Postpaddle-Forwarding-Arrivals", text}}};
        INFO(text);
        CHECK_FALSE(gateway::take_forwarding_label(head).arrivals);
    }
}

// Guards against a request counting as not run, or as run, by the word of a host that knows no forwarding.
TEST_CASE("an answer without a label is a host's that has not run the request, unless it failed") {
    for (const int status : {200, 400, 403, 404}) {
        wire::response_head head{status, {}};
        CHECK(gateway::may_go_elsewhere(gateway::take_forwarding_label(head).outcome));
    }
    wire::response_head failed{502, {}};
    CHECK(gateway::take_forwarding_label(failed).outcome == forwarding_outcome::may_have_run);
}

TEST_CASE("messages about the origin of a stream arrive as they were, and malformed ones are rejected") {
    const gateway::stream_origin_message message = {
        .kind = gateway::stream_origin_message_kind::record,
        .from = {"host-1"},
        .keys = {.by_id = {.high = 0xffff'ffff'ffff'ffff, .low = 1}, .by_content = {.high = 2, .low = 3}},
        .origin = host::stream_origin{.service = "engines", .software_version = "v2"},
        .lifetime = 24s};
    const std::string bytes = gateway::encode_stream_origin(message);
    CHECK(gateway::decode_stream_origin(bytes) == message);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE_FALSE(gateway::decode_stream_origin(bytes.substr(0, size)));
    std::mt19937_64 random(6);
    for (int round = 0; round < 2'000; ++round) {
        std::string changed = bytes;
        changed[random() % changed.size()] = static_cast<char>(random());
        (void)gateway::decode_stream_origin(changed);
    }
    auto without_origin = message;
    without_origin.origin.reset();
    CHECK_FALSE(gateway::decode_stream_origin(gateway::encode_stream_origin(without_origin)));
    without_origin.kind = gateway::stream_origin_message_kind::answer;
    CHECK(gateway::decode_stream_origin(gateway::encode_stream_origin(without_origin)) == without_origin);
}
