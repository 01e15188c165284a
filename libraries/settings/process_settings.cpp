// SPDX-License-Identifier: BSD-2-Clause
#include <settings/process_settings.h>

#include <settings/node_reader.h>

namespace postpaddle::settings {

namespace {

constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr std::int64_t max_bytes = 64LL * 1024 * 1024;

listen_settings read_listen(node_reader reader) {
    static constexpr std::int64_t max_port = 65535;
    const listen_settings defaults;
    listen_settings value;
    value.address = reader.text("address", defaults.address);
    if (!is_ip_and_port(value.address + ":1"))
        reader.add_problem("address", "an IP number", "`" + value.address + "`");
    value.port = static_cast<std::uint16_t>(reader.integer("port", defaults.port, {0, max_port}));
    reader.check_unknown_fields();
    return value;
}

std::chrono::milliseconds read_milliseconds(node_reader& reader, const std::string& key,
                                            std::chrono::milliseconds default_value) {
    return std::chrono::milliseconds(reader.integer(key, default_value.count(), {0, max_milliseconds}));
}

std::size_t read_size(node_reader& reader, const std::string& key, std::size_t default_value) {
    return static_cast<std::size_t>(
        reader.integer(key, static_cast<std::int64_t>(default_value), {1, max_bytes}));
}

caller_bounds read_bounds(node_reader reader) {
    const caller_bounds defaults;
    caller_bounds value;
    value.header_bytes = read_size(reader, "header_bytes", defaults.header_bytes);
    value.body_bytes = read_size(reader, "body_bytes", defaults.body_bytes);
    value.request_read_timeout = read_milliseconds(reader, "request_read_ms", defaults.request_read_timeout);
    value.idle_timeout = read_milliseconds(reader, "idle_ms", defaults.idle_timeout);
    value.unsent_bytes = read_size(reader, "unsent_bytes", defaults.unsent_bytes);
    value.write_timeout = read_milliseconds(reader, "write_ms", defaults.write_timeout);
    value.connections = read_size(reader, "connections", defaults.connections);
    reader.check_unknown_fields();
    return value;
}

stop_settings read_stop(node_reader reader) {
    const stop_settings defaults;
    stop_settings value;
    value.balancer_delay = read_milliseconds(reader, "balancer_lag_ms", defaults.balancer_delay);
    value.drain_timeout = read_milliseconds(reader, "limit_ms", defaults.drain_timeout);
    reader.check_unknown_fields();
    return value;
}

std::string read_peer_address(node_reader& reader, const std::string& key) {
    std::string address = reader.required_text(key);
    if (!address.empty() && !is_ip_and_port(address))
        reader.add_problem(key, "an IP number and port", "`" + address + "`");
    return address;
}

} // namespace

tl::expected<process_settings, problems> parse_process_settings(const std::string& text,
                                                                const std::string& file) {
    static constexpr std::int64_t max_threads = 64;
    static constexpr std::int64_t max_ring_capacity = 1'000'000;
    problems found;
    node_reader reader(load_yaml(text, file, found), file, "", found);
    const process_settings defaults;
    process_settings value;
    value.name.value = reader.required_text("name");
    value.availability_zone.value = reader.required_text("availability_zone");
    value.region = reader.text("region", defaults.region);
    value.callers = read_listen(reader.child("callers"));
    value.operators = read_listen(reader.child("operators"));
    value.operators_token = reader.required_text("operators_token");
    value.peers = read_listen(reader.child("peers"));
    value.peers_token = reader.required_text("peers_token");
    value.log_address = read_peer_address(reader, "log_address");
    value.host_list_address = read_peer_address(reader, "host_list_address");
    value.relay_threads =
        static_cast<int>(reader.integer("relay_threads", defaults.relay_threads, {1, max_threads}));
    value.ring_capacity = static_cast<std::size_t>(reader.integer(
        "ring_capacity", static_cast<std::int64_t>(defaults.ring_capacity), {1, max_ring_capacity}));
    value.policy = reader.one_of("policy", defaults.policy, {"postpaddle", "round_robin", "least_load"});
    value.bounds = read_bounds(reader.child("bounds"));
    value.stop = read_stop(reader.child("stop"));
    value.gossip_interval = read_milliseconds(reader, "gossip_interval_ms", defaults.gossip_interval);
    value.log_level = reader.one_of("log_level", defaults.log_level, {"debug", "info", "warn", "error"});
    reader.check_unknown_fields();
    if (!found.empty())
        return tl::make_unexpected(std::move(found));
    return value;
}

} // namespace postpaddle::settings
