// SPDX-License-Identifier: BSD-2-Clause
// Guards against hosts that end, or stop following the registry, as somebody wrote an odd entry: deeply
// nested, with numbers that are too large, or with a port out of range.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <base/json_parser.h>
#include <gateway/peers/peer_codec.h>
#include <gateway/store_sync/registry_rows.h>
#include <gateway/store_sync/store_update_message.h>
#include <gateway/stream_origin/journal_message.h>
#include <wire/asio.h>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::size_t depth = 120'000;

std::string nested(const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += open;
    for (std::size_t level = 0; level < depth && !close.empty(); ++level)
        text += close;
    return text;
}

/// An entry of a ready server of a service without routes, with another value in one of its fields.
std::string entry_with(const std::string& field, const std::string& value) {
    std::map<std::string, std::string> fields = {{"service", R"("odd")"}, {"address", R"("127.0.0.1:9")"},
                                                 {"zone", R"("east")"},   {"version", R"("v1")"},
                                                 {"slots", "8"},          {"state", R"("ready")"},
                                                 {"sequence", "1"},       {"coldRemainingMs", "0"}};
    fields[field] = value;
    std::string text;
    for (const auto& [name, content] : fields) {
        text += text.empty() ? "{\"" : ",\"";
        text += name;
        text += "\":";
        text += content;
    }
    return text + "}";
}

std::vector<std::string> odd_entries() {
    std::vector<std::string> entries = {"",
                                        "{",
                                        "[]",
                                        "null",
                                        nested("[", ""),
                                        nested("[", "]"),
                                        nested(R"({"a":)", ""),
                                        entry_with("extra", nested("[", "]"))};
    const std::vector<std::string> values = {nested("[", "]"),
                                             std::string(5'000, '9'),
                                             "1e999",
                                             "-1",
                                             "1.5",
                                             "18446744073709551616",
                                             "null",
                                             "{}",
                                             "\"" + std::string(60'000, 'x') + "\""};
    for (const auto* field : {"slots", "sequence", "coldRemainingMs", "born", "service", "version", "state"})
        for (const std::string& value : values)
            entries.push_back(entry_with(field, value));
    for (const auto* address : {"127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1: 9",
                                "127.0.0.1:x", "127.0.0.1:99999999999999999999", ":", ""})
        entries.push_back(entry_with("address", '"' + std::string(address) + '"'));
    return entries;
}

void write_odd_entries(test::gateway_cluster& cluster, const std::string& prefix) {
    int number = 0;
    for (const std::string& entry : odd_entries())
        cluster.register_text(prefix + std::to_string(number++), entry);
}

/// Sends a datagram to a host, from another host's address.
void send_datagram(const test::gateway_cluster& cluster, int from, int target, const std::string& bytes) {
    wire::asio::io_context context;
    wire::asio::ip::udp::socket socket(context, {wire::asio::ip::make_address(cluster.host_ip(from)), 0});
    (void)socket.send_to(wire::asio::buffer(bytes), {wire::asio::ip::make_address(cluster.host_ip(target)),
                                                     static_cast<unsigned short>(cluster.datagram_port())});
}

/// Whether all hosts follow the registry: a new server gets requests, and none after it left.
void check_following(test::gateway_cluster& cluster, int hosts, const std::string& id) {
    cluster.add_server({.id = id});
    const auto listing_is = [&](const std::string& listing) {
        return test::eventually([&] {
            for (int host = 1; host <= hosts; ++host) {
                const auto instances = cluster.state_of(host).at("instances");
                if (!instances.contains(id) || instances.at(id).at("listing") != listing)
                    return false;
            }
            return true;
        });
    };
    CHECK(listing_is("listed"));
    for (int host = 1; host <= hosts; ++host)
        CHECK(test::status_at(cluster, host, "/again/") == 200);
    cluster.register_server(id, "draining", 2);
    CHECK(listing_is("leaving"));
}

} // namespace

TEST_CASE("hosts follow the registry beside odd entries, written before they start and later") {
    test::gateway_cluster cluster({.name = "odd-entries", .servers = {{.id = "one"}}, .hosts = 1});
    write_odd_entries(cluster, "early-");
    for (const int host : {2, 3})
        cluster.start_host(host);
    for (const int host : {2, 3})
        REQUIRE(test::eventually([&] { return cluster.is_ready(host); }));
    write_odd_entries(cluster, "late-");
    // Over the entry of a live server, and of one that has left.
    for (const std::string& entry : odd_entries())
        cluster.register_text("one", entry);
    cluster.add_server({.id = "two"});
    cluster.register_server("two", "draining", 2);
    for (const std::string& entry : odd_entries())
        cluster.register_text("two", entry);
    check_following(cluster, 3, "three");
    CHECK(cluster.arrivals("two") == 0);
}

TEST_CASE("hosts go on beside odd datagrams and heartbeats of other hosts") {
    test::gateway_cluster cluster({.name = "odd-messages", .servers = {{.id = "one"}}, .hosts = 2});
    static constexpr std::size_t max_datagram = 60'000;
    for (const char kind : {'l', 's', 'a', 'q', 'o', 'j'})
        for (const char level : {'\x91', '\x81', '\x92'}) {
            send_datagram(cluster, 2, 1, kind + std::string(max_datagram, level));
            std::this_thread::sleep_for(20ms);
        }
    for (const std::string& text : {nested("[", "]"), nested(R"({"hosts":)", ""), std::string("1e999")})
        (void)stand_in::http_exchange(cluster.peers_address(1),
                                      {"POST", "/peers/heartbeat", {{"Host", "host"}}, text}, 2s);
    check_following(cluster, 2, "two");
}

TEST_CASE("messages of other hosts with deeply nested or impossible values are malformed") {
    const base::time_point now{1h};
    for (const char level : {'\x91', '\x81'}) {
        const std::string bytes(depth, level);
        CHECK_FALSE(gateway::decode_store_update(bytes, now));
        CHECK_FALSE(gateway::decode_store_query(bytes));
        CHECK_FALSE(gateway::decode_load(bytes));
        CHECK_FALSE(gateway::decode_cell_loads(bytes));
        CHECK_FALSE(gateway::decode_journal_message(bytes));
    }
    CHECK_FALSE(gateway::decode_heartbeat(nested("[", "]"), now));
    const json row =
        base::parse_json(R"(["id", 1, "plain", "127.0.0.1:9", "east", 8, 0, false, 1, 0, 0, "v1"])");
    CHECK(gateway::decode_changes(json::array({row})));
    const auto is_malformed = [&](std::size_t column, const json& value) {
        json odd = row;
        odd[column] = value;
        return !gateway::decode_changes(json::array({row, odd}));
    };
    for (const json& value : {json(-1), json(1.5), json("1"), json(), json::array()})
        for (const std::size_t column : {1, 5, 6, 8, 9, 10}) {
            INFO(column << " " << value);
            CHECK(is_malformed(column, value));
        }
    CHECK(is_malformed(5, std::uint64_t{1} << 32U));
    CHECK(is_malformed(6, 4));
    CHECK(is_malformed(10, std::uint64_t{1} << 63U));
}
