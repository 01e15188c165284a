// SPDX-License-Identifier: BSD-2-Clause
#include <settings/process_settings.h>

#include <settings/node_reader.h>

namespace postpaddle::settings {

namespace {

constexpr std::int64_t longest_milliseconds = 3'600'000;
constexpr std::int64_t most_bytes = 64LL * 1024 * 1024;

listen_settings read_listen(node_reader reader) {
    static constexpr std::int64_t highest_port = 65535;
    const listen_settings standard;
    listen_settings value;
    value.address = reader.text("address", standard.address);
    if (!is_ip_and_port(value.address + ":1"))
        reader.note("address", "an IP number", "`" + value.address + "`");
    value.port = static_cast<std::uint16_t>(reader.integer("port", standard.port, {0, highest_port}));
    reader.finish();
    return value;
}

std::chrono::milliseconds read_milliseconds(node_reader& reader, const std::string& key,
                                            std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(reader.integer(key, fallback.count(), {0, longest_milliseconds}));
}

std::size_t read_size(node_reader& reader, const std::string& key, std::size_t fallback) {
    return static_cast<std::size_t>(
        reader.integer(key, static_cast<std::int64_t>(fallback), {1, most_bytes}));
}

caller_bounds read_bounds(node_reader reader) {
    const caller_bounds standard;
    caller_bounds value;
    value.header_bytes = read_size(reader, "header_bytes", standard.header_bytes);
    value.body_bytes = read_size(reader, "body_bytes", standard.body_bytes);
    value.request_read = read_milliseconds(reader, "request_read_ms", standard.request_read);
    value.idle = read_milliseconds(reader, "idle_ms", standard.idle);
    value.unsent_bytes = read_size(reader, "unsent_bytes", standard.unsent_bytes);
    value.write = read_milliseconds(reader, "write_ms", standard.write);
    value.connections = read_size(reader, "connections", standard.connections);
    reader.finish();
    return value;
}

stop_settings read_stop(node_reader reader) {
    const stop_settings standard;
    stop_settings value;
    value.balancer_lag = read_milliseconds(reader, "balancer_lag_ms", standard.balancer_lag);
    value.limit = read_milliseconds(reader, "limit_ms", standard.limit);
    reader.finish();
    return value;
}

std::string read_peer_address(node_reader& reader, const std::string& key) {
    std::string address = reader.required_text(key);
    if (!address.empty() && !is_ip_and_port(address))
        reader.note(key, "an IP number and port", "`" + address + "`");
    return address;
}

} // namespace

tl::expected<process_settings, problems> parse_process_settings(const std::string& text,
                                                                const std::string& file) {
    static constexpr std::int64_t most_threads = 64;
    static constexpr std::int64_t most_ring_items = 1'000'000;
    problems found;
    node_reader reader(load_yaml(text, file, found), file, "", found);
    const process_settings standard;
    process_settings value;
    value.name.value = reader.required_text("name");
    value.availability_zone.value = reader.required_text("availability_zone");
    value.region = reader.text("region", standard.region);
    value.callers = read_listen(reader.child("callers"));
    value.operators = read_listen(reader.child("operators"));
    value.operators_token = reader.required_text("operators_token");
    value.peers = read_listen(reader.child("peers"));
    value.peers_token = reader.required_text("peers_token");
    value.log_address = read_peer_address(reader, "log_address");
    value.host_list_address = read_peer_address(reader, "host_list_address");
    value.relay_threads =
        static_cast<int>(reader.integer("relay_threads", standard.relay_threads, {1, most_threads}));
    value.ring_capacity = static_cast<std::size_t>(reader.integer(
        "ring_capacity", static_cast<std::int64_t>(standard.ring_capacity), {1, most_ring_items}));
    value.policy = reader.word("policy", standard.policy, {"postpaddle", "round_robin", "least_load"});
    value.bounds = read_bounds(reader.child("bounds"));
    value.stop = read_stop(reader.child("stop"));
    value.gossip_interval = read_milliseconds(reader, "gossip_interval_ms", standard.gossip_interval);
    value.log_level = reader.word("log_level", standard.log_level, {"debug", "info", "warn", "error"});
    reader.finish();
    if (!found.empty())
        return tl::make_unexpected(std::move(found));
    return value;
}

} // namespace postpaddle::settings
