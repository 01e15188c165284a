// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/peer_codec.h>
#include <gateway/store_sync/store_update_message.h>

#include <catch2/catch.hpp>

#include <limits>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};

gateway::store_update make_update() {
    settings::upstream_entry entry;
    entry.id = {"engine-1"};
    entry.service = "engines";
    entry.address = "10.0.0.1:8000";
    entry.availability_zone = {"north"};
    entry.slots = 12;
    entry.stage = settings::engine_stage::decode;
    entry.is_leaving = true;
    entry.sequence = 7;
    entry.cold_remaining = 1'500ms;
    entry.software_version = "v2";
    return {
        .host = {"host-1"},
        .stamp = {.incarnation = 5, .sent = 900s},
        .in_reply_to = 800s,
        .settings_version = 4,
        .settings = {.next = 9, .until = start - 300ms},
        .registry = {.next = 21, .until = start - 1'200ms},
        .is_read_failing = true,
        .is_store_absent = true,
        .is_uninformed = true,
        .served = {.since = start - 9s, .until = start - 1s},
        .changes_since = 19,
        .changes = {{{"engine-1"}, entry, 19}, {{"engine-2"}, std::nullopt, 20}},
        .zones = {.records = {{{"north"}, true, 6}, {{"south"}, false, 8}}, .end = 9, .is_complete = true}};
}

gateway::heartbeat make_heartbeat() {
    return {.host = {"host-1"},
            .address = "10.0.0.1:7000",
            .availability_zone = {"north"},
            .settings_version = 3,
            .splits_end = 5,
            .others = {{{"host-2"}, {"10.0.0.2:7000", {"south"}, start - 2s}}}};
}

std::string make_loads() {
    return gateway::encode_cell_loads({{17, {3, 15'000, 4'000}, false}, {18, {0, 0, 0}, true}});
}

} // namespace

TEST_CASE("a store update round-trips, with ages relative to its arrival") {
    const auto update = make_update();
    CHECK(gateway::decode_store_update(gateway::encode_store_update(update, start), start) == update);
    const auto later =
        gateway::decode_store_update(gateway::encode_store_update(update, start), start + 50ms);
    REQUIRE(later);
    CHECK(later->settings.until == update.settings.until + 50ms);
}

TEST_CASE("a span in which the store served a host seems no longer to another one than it was") {
    auto update = make_update();
    update.served = {.since = start - 4'000'400us, .until = start - 1'000'600us};
    const auto served =
        gateway::decode_store_update(gateway::encode_store_update(update, start), start)->served;
    CHECK(served == host::served_span{.since = start - 4s, .until = start - 1'001ms});
    update.served = {};
    CHECK(gateway::decode_store_update(gateway::encode_store_update(update, start), start)->served ==
          host::served_span{});
}

TEST_CASE("changes that the receiver of an update knows are not decoded") {
    const std::string bytes = gateway::encode_store_update(make_update(), start);
    CHECK(gateway::decode_store_update(bytes, start, 21)->changes.empty());
    CHECK(gateway::decode_store_update(bytes, start, 20)->changes.size() == 2);
}

TEST_CASE("a heartbeat without an availability zone is accepted") {
    const gateway::heartbeat message = make_heartbeat();
    nlohmann::json value = gateway::encode_heartbeat(message, start);
    CHECK(gateway::decode_heartbeat(value.dump(), start) == message);
    // Hosts of earlier versions don't send these.
    value.erase("availability_zone");
    value.erase("splits_end");
    value["hosts"]["host-2"].erase("availability_zone");
    const auto decoded = gateway::decode_heartbeat(value.dump(), start);
    REQUIRE(decoded);
    CHECK(decoded->availability_zone.is_empty());
    CHECK(decoded->splits_end == 0);
    CHECK(decoded->others.at({"host-2"}).address == "10.0.0.2:7000");
}

TEST_CASE("the loads of a cell's engines round-trip") {
    const auto loads = gateway::decode_cell_loads(make_loads());
    REQUIRE(loads);
    CHECK(*loads == std::vector<host::reported_load>{{17, {3, 15'000, 4'000}, false}, {18, {0, 0, 0}, true}});
}

TEST_CASE("truncated, corrupted or foreign messages are rejected safely") {
    const std::string update = gateway::encode_store_update(make_update(), start);
    for (std::size_t length = 0; length < update.size(); ++length)
        CHECK_FALSE(gateway::decode_store_update(update.substr(0, length), start));
    const std::string loads = make_loads();
    for (std::size_t length = 0; length < loads.size(); ++length)
        CHECK_FALSE(gateway::decode_cell_loads(loads.substr(0, length)));
    CHECK_FALSE(gateway::decode_store_update(loads, start));
    CHECK_FALSE(gateway::decode_load(update));
    std::mt19937_64 random(3);
    std::uniform_int_distribution<int> byte(0, 255);
    for (int round = 0; round < 5'000; ++round) {
        std::string changed = update;
        changed[random() % changed.size()] = static_cast<char>(byte(random));
        (void)gateway::decode_store_update(changed, start);
        (void)gateway::decode_load(changed);
        (void)gateway::decode_cell_loads(changed);
    }
}

TEST_CASE("a load report round-trips, and keys differ between starts of an instance") {
    host::load_report report;
    report.host = {"host-1"};
    report.incarnation = 7;
    report.sequence = 3;
    report.uses[host::key_of(base::upstream_id{"engine-1"}, 1'764'000'000'000)] = {2, 8'000, 100};
    report.organisations[host::key_of(base::organisation_id{"studio"})] = {.before = 5'000, .now = 12'000};
    report.hosts = 78;
    report.advertisements = {{17, 2.5, 1'500ms, true}, {18, std::nullopt, 0ms, false}};
    CHECK(gateway::decode_load(gateway::encode_load(report)) == report);
    CHECK(host::key_of(base::upstream_id{"engine-1"}, 1) != host::key_of(base::upstream_id{"engine-1"}, 2));
    for (const int hosts : {0, -1, 1'000'000'000}) {
        report.hosts = hosts;
        CHECK_FALSE(gateway::decode_load(gateway::encode_load(report)));
    }
}

TEST_CASE("observations and shares in a load report round-trip, and invalid values are clamped") {
    host::load_report report;
    report.host = {"host-1"};
    report.waiters = {{300ms, 4'000, 700ms, 2, 91}, {10ms, 50}};
    report.share_tokens = {{91, 8'000}, {92, 120}};
    report.loads = {{17, {3, 1, 6, 250}, 40ms}};
    report.paces = {{18, {1.5, 0.75}, 900ms}};
    CHECK(gateway::decode_load(gateway::encode_load(report)) == report);

    report.waiters = {{300ms, 4'000, -5ms, 1'000, 91}, {-1h, -7}};
    report.share_tokens = {{91, -8'000}};
    report.loads = {{17, {-3, 2'000'000'000, 6, 0}, -40ms}};
    report.paces = {{18, {0, 1e9}, 9'000h}};
    const auto decoded = gateway::decode_load(gateway::encode_load(report));
    REQUIRE(decoded);
    CHECK(decoded->waiters ==
          std::vector<decision::waiter>{{300ms, 4'000, std::nullopt, decision::max_rank, 91}, {0ms, 0}});
    CHECK(decoded->share_tokens.at(91) == 0);
    CHECK(decoded->loads == std::vector<host::observed_load>{{17, {0, 1'000'000, 6, 1}, 0ms}});
    CHECK(decoded->paces ==
          std::vector<host::observed_pace>{{18, {decision::min_pace, decision::max_pace}, 24h}});
}

// Guards against corrupt reports whose sum with this host's own work overflows, or that let the recheck of a
// decode engine place two billion requests one by one.
TEST_CASE("the work in a report is clamped: requests and tokens are neither negative nor huge") {
    constexpr int most = std::numeric_limits<int>::max();
    constexpr int least = std::numeric_limits<int>::min();
    host::load_report report;
    report.host = {"host-1"};
    report.uses = {{17, {most, 1e15, 1e15}}, {18, {least, -1e15, -1}}};
    const auto decoded = gateway::decode_load(gateway::encode_load(report));
    REQUIRE(decoded);
    CHECK(decoded->uses.at(17) == decision::instance_use{1'000'000, 1e9, 1e9});
    CHECK(decoded->uses.at(18) == decision::instance_use{});
    const auto loads = gateway::decode_cell_loads(
        gateway::encode_cell_loads({{17, {most, 1e15, 1e15}, false}, {18, {least, -1e15, -1}, true}}));
    REQUIRE(loads);
    CHECK(loads->at(0).use == decision::instance_use{1'000'000, 1e9, 1e9});
    CHECK(loads->at(1).use == decision::instance_use{});
}

// Guards against infinite memory, which would stay in the sum of all hosts after the report has expired.
TEST_CASE("work that is no finite number counts as none") {
    const nlohmann::json not_finite = std::numeric_limits<double>::infinity();
    const nlohmann::json value = {"host-1",
                                  7,
                                  3,
                                  {{17, 2, not_finite, 5}},
                                  nlohmann::json::array(),
                                  nlohmann::json::array(),
                                  nlohmann::json::array()};
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    const auto decoded = gateway::decode_load(bytes);
    REQUIRE(decoded);
    CHECK(decoded->uses.at(17) == decision::instance_use{2, 0, 5});
}

// Guards against rejecting reports of hosts that have not been upgraded yet.
TEST_CASE("a load report of an earlier version, without ranks, shares and observations, is accepted") {
    const nlohmann::json value = {"host-1",
                                  7,
                                  3,
                                  nlohmann::json::array(),
                                  {{250, 4'000}},
                                  nlohmann::json::array(),
                                  nlohmann::json::array(),
                                  nlohmann::json::array(),
                                  78,
                                  nlohmann::json::array()};
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    const auto decoded = gateway::decode_load(bytes);
    REQUIRE(decoded);
    CHECK(decoded->waiters == std::vector<decision::waiter>{{250ms, 4'000}});
    CHECK(decoded->hosts == 78);
    CHECK(decoded->loads.empty());
}

TEST_CASE("upstream advertisements round-trip in a heartbeat, and invalid ages are clamped") {
    gateway::heartbeat message = make_heartbeat();
    message.advertisements = {{17, 0.1, 500ms, false}, {18, std::nullopt, 3s, true}};
    auto value = gateway::encode_heartbeat(message, start);
    CHECK(gateway::decode_heartbeat(value.dump(), start) == message);
    value["words"] = {{17, 2.5, -7, true}, {18, 2.5, std::numeric_limits<std::int64_t>::max(), false}};
    const auto decoded = gateway::decode_heartbeat(value.dump(), start);
    REQUIRE(decoded);
    CHECK(decoded->advertisements.front().age == 0ms);
    CHECK(decoded->advertisements.back().age == 24h);
    value["words"] = {{17, "many", 3, true}};
    CHECK_FALSE(gateway::decode_heartbeat(value.dump(), start));
}
