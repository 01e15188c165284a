// SPDX-License-Identifier: BSD-2-Clause
#include <postpaddle/commands.h>

#include <postpaddle/host_fetch.h>
#include <postpaddle/waiting_table.h>

#include <wire/request_target.h>

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace postpaddle::utility {

namespace {

using nlohmann::json;

int fail(const std::string& message, int code = exit_failed) {
    std::cerr << "postpaddle: " << message << '\n';
    return code;
}

tl::expected<json, std::string> fetch_gateway_state(const command_options& options) {
    const auto text = fetch_from_host(options.host_address, options.token, "/state");
    if (!text)
        return tl::make_unexpected(text.error());
    json state = json::parse(*text, nullptr, false);
    if (!state.is_object() || !state.contains("instances"))
        return tl::make_unexpected(options.host_address + " is no gateway host");
    return state;
}

void print_state(const json& state) {
    static constexpr int wide_column = 18;
    static constexpr int narrow_column = 12;
    std::cout << "host " << state.at("host").get<std::string>() << ", settings version "
              << state.at("settings_version") << " with " << state.at("routes") << " routes, "
              << (state.at("is_ready").get<bool>() ? "ready" : "not ready") << ", "
              << state.at("requests_in_progress") << " requests in progress, " << state.at("hosts_alive")
              << " hosts\n\n"
              << std::left << std::setw(wide_column) << "instance" << std::setw(wide_column) << "service"
              << std::setw(narrow_column) << "listing" << std::setw(narrow_column) << "own"
              << std::setw(narrow_column) << "failures"
              << "address\n";
    for (const auto& [id, row] : state.at("instances").items())
        std::cout << std::setw(wide_column) << id << std::setw(wide_column)
                  << row.at("service").get<std::string>() << std::setw(narrow_column)
                  << row.at("listing").get<std::string>() << std::setw(narrow_column)
                  << row.at("own_requests").dump() << std::setw(narrow_column)
                  << row.at("failures_in_row").dump() << row.at("address").get<std::string>() << '\n';
}

/// Prints a request's explanation from the first host that has it: the given host, then its peers.
int print_explanation(const std::string& id, const json& state, const command_options& options) {
    std::vector<std::string> addresses = {options.host_address};
    for (const auto& [name, peer] : state.at("peers").items())
        addresses.push_back(peer.at("address").get<std::string>());
    const std::string target = wire::make_target({.path = {"explain"}, .query = {{"id", id}}});
    for (const std::string& address : addresses) {
        if (const auto explanation = fetch_from_host(address, options.token, target)) {
            std::cout << *explanation << '\n';
            return exit_ok;
        }
    }
    std::cerr << "postpaddle: no host remembers request " << id << "; look for it in the logs\n";
    return exit_failed;
}

} // namespace

int run_gateway(const std::vector<std::string>& arguments, const command_options& options) {
    const auto state = fetch_gateway_state(options);
    if (!state)
        return fail(state.error());
    if (!arguments.empty())
        return print_explanation(arguments.front(), *state, options);
    print_state(*state);
    return exit_ok;
}

int run_waiting(const std::vector<std::string>& arguments, const command_options& options) {
    if (arguments.size() > 1)
        return fail("waiting takes one SERVICE or none", exit_bad_usage);
    const auto state = fetch_gateway_state(options);
    if (!state)
        return fail(state.error());
    if (!print_waiting(std::cout, *state, arguments.empty() ? "" : arguments.front()))
        return fail(options.host_address + " is of a version that does not report what waits");
    return exit_ok;
}

} // namespace postpaddle::utility
