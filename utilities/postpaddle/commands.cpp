// SPDX-License-Identifier: BSD-2-Clause
#include <postpaddle/commands.h>

#include <postpaddle/host_fetch.h>
#include <postpaddle/publisher.h>

#include <settings/settings_tree.h>
#include <wire/http_client.h>
#include <wire/request_target.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace postpaddle::utility {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto in_force_timeout = std::chrono::seconds(10);
constexpr auto poll_interval = 20ms;

int fail(const std::string& message, int code = exit_failed) {
    std::cerr << "postpaddle: " << message << '\n';
    return code;
}

tl::expected<std::string, std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file)
        return tl::make_unexpected("can't read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Fetches a host's state from its operators' address.
tl::expected<json, std::string> fetch_state(const std::string& address, const std::string& token) {
    const auto text = fetch_from_host(address, token, "/state");
    if (!text)
        return tl::make_unexpected(text.error());
    json state = json::parse(*text, nullptr, false);
    if (!state.is_object())
        return tl::make_unexpected(address + " did not answer with a JSON object");
    return state;
}

std::string make_change_id() {
    static constexpr int digits = 16;
    std::random_device random;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(digits / 2) << random() << std::setw(digits / 2)
         << random();
    return text.str();
}

/// A member of the cluster and the settings revision it has in force, as known to the host that was asked.
struct host_status {
    std::string name;
    std::string availability_zone;
    std::string liveness;
    std::string operators_address;
    bool is_draining = false;
    std::uint64_t revision = 0;
    std::uint64_t next_offset = 0;
};

tl::expected<std::vector<host_status>, std::string> fetch_host_statuses(const command_options& options) {
    const auto state = fetch_state(options.host_address, options.token);
    if (!state)
        return tl::make_unexpected(state.error());
    std::vector<host_status> rows;
    for (const json& member : state->at("control").at("members"))
        rows.push_back({member.at("n"), member.at("z"), member.at("life"), member.at("o"), member.at("d"),
                        member.at("sr"), member.at("so")});
    return rows;
}

bool is_in_force_everywhere(const std::vector<host_status>& rows, std::uint64_t revision) {
    for (const host_status& row : rows)
        if (row.liveness == "alive" && row.revision < revision)
            return false;
    return true;
}

int wait_until_in_force(const command_options& options, std::uint64_t revision) {
    const auto deadline = base::boot_clock::now() + in_force_timeout;
    std::vector<host_status> rows;
    while (base::boot_clock::now() < deadline) {
        auto next = fetch_host_statuses(options);
        if (next)
            rows = std::move(*next);
        if (!rows.empty() && is_in_force_everywhere(rows, revision)) {
            std::cout << "in force on";
            for (const host_status& row : rows)
                if (row.liveness == "alive")
                    std::cout << ' ' << row.name;
            std::cout << std::endl;
            return exit_ok;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    std::cout << "accepted, but not yet in force on";
    for (const host_status& row : rows)
        if (row.revision < revision)
            std::cout << ' ' << row.name << " (" << row.liveness << ")";
    std::cout << std::endl;
    return exit_failed;
}

tl::expected<settings::settings_record, std::string> make_record(const std::vector<std::string>& arguments,
                                                                 const command_options& options) {
    settings::settings_record record;
    record.change_id = make_change_id();
    record.author = options.author;
    record.base_revision = options.base_revision;
    if (!options.assignment.empty()) {
        const auto separator = options.assignment.find('=');
        if (separator == std::string::npos)
            return tl::make_unexpected(std::string("--set needs PATH=VALUE"));
        record.kind = settings::record_kind::assign;
        record.path = options.assignment.substr(0, separator);
        record.value = options.assignment.substr(separator + 1);
        return record;
    }
    if (arguments.size() != 1)
        return tl::make_unexpected(std::string("publish needs one FILE, or --set=PATH=VALUE"));
    auto text = read_file(arguments[0]);
    if (!text)
        return tl::make_unexpected(text.error());
    const auto tree = settings::parse_settings_tree(*text, arguments[0]);
    if (!tree)
        return tl::make_unexpected("invalid:\n" + settings::to_text(tree.error()));
    record.document = std::move(*text);
    return record;
}

tl::expected<std::string, std::string> read_document(const command_options& options) {
    if (!options.file.empty())
        return read_file(options.file);
    const auto state = read_settings({options.log_address, "", 10s});
    if (!state)
        return tl::make_unexpected(state.error());
    return state->document;
}

} // namespace

int run_validate(const std::vector<std::string>& arguments) {
    if (arguments.size() != 1)
        return fail("validate needs one FILE", exit_bad_usage);
    const auto text = read_file(arguments[0]);
    if (!text)
        return fail(text.error(), exit_bad_settings);
    const auto tree = settings::parse_settings_tree(*text, arguments[0]);
    if (tree) {
        std::cout << arguments[0] << ": valid, " << settings::all_organisations(*tree).size()
                  << " organisations\n";
        return exit_ok;
    }
    std::cerr << settings::to_text(tree.error());
    return exit_bad_settings;
}

int run_publish(const std::vector<std::string>& arguments, const command_options& options) {
    const auto record = make_record(arguments, options);
    if (!record)
        return fail(record.error(), exit_bad_settings);
    const auto verdict = publish({options.log_address, options.author, 30s}, *record);
    if (!verdict)
        return fail(verdict.error());
    if (!verdict->is_accepted) {
        std::cout << "rejected at offset " << verdict->offset << ": " << verdict->reason << std::endl;
        return exit_rejected;
    }
    std::cout << "accepted as revision " << verdict->offset << std::endl;
    if (options.host_address.empty())
        return exit_ok;
    return wait_until_in_force(options, verdict->offset);
}

int run_show(const std::vector<std::string>& arguments, const command_options& options) {
    if (arguments.size() != 1)
        return fail("show needs one PATH, such as /mauritius/studio-a", exit_bad_usage);
    const auto document = read_document(options);
    if (!document)
        return fail(document.error());
    const auto tree =
        settings::parse_settings_tree(*document, options.file.empty() ? "published" : options.file);
    if (!tree)
        return fail("invalid:\n" + settings::to_text(tree.error()), exit_bad_settings);
    const auto values = settings::effective_values_of(*tree, {arguments[0]});
    if (values.empty())
        return fail("no organisation " + arguments[0]);
    static constexpr int name_width = 40;
    static constexpr int value_width = 24;
    for (const auto& [field, value] : values)
        std::cout << std::left << std::setw(name_width) << field << ' ' << std::setw(value_width)
                  << value.text << ' ' << (value.origin.empty() ? "(default)" : value.origin) << '\n';
    return exit_ok;
}

int run_status(const command_options& options) {
    const auto rows = fetch_host_statuses(options);
    if (!rows)
        return fail(rows.error());
    static constexpr int column_width = 14;
    std::cout << std::left << std::setw(column_width) << "host" << std::setw(column_width) << "zone"
              << std::setw(column_width) << "life" << std::setw(column_width) << "revision"
              << std::setw(column_width) << "next offset"
              << "operators\n";
    for (const host_status& row : *rows)
        std::cout << std::setw(column_width) << row.name << std::setw(column_width) << row.availability_zone
                  << std::setw(column_width) << (row.is_draining ? row.liveness + "+drain" : row.liveness)
                  << std::setw(column_width) << row.revision << std::setw(column_width) << row.next_offset
                  << row.operators_address << '\n';
    return exit_ok;
}

int run_dump(const command_options& options) {
    const auto text = fetch_from_host(options.host_address, options.token, "/state");
    if (!text)
        return fail(text.error());
    std::cout << *text;
    return exit_ok;
}

int run_explain(const std::vector<std::string>& arguments, const command_options& options) {
    if (arguments.size() != 1)
        return fail("explain needs one REQUEST-ID", exit_bad_usage);
    // A request id starts with the name of the host that issued it; any host knows that host's address.
    std::string address = options.host_address;
    const std::string host = arguments[0].substr(0, arguments[0].find('.'));
    if (const auto rows = fetch_host_statuses(options))
        for (const host_status& row : *rows)
            if (row.name == host && !row.operators_address.empty())
                address = row.operators_address;
    const auto text = fetch_from_host(
        address, options.token, wire::make_target({.path = {"explain"}, .query = {{"id", arguments[0]}}}));
    if (!text)
        return fail(text.error());
    std::cout << *text;
    return exit_ok;
}

} // namespace postpaddle::utility
