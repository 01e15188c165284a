// SPDX-License-Identifier: BSD-2-Clause
// Guards against a host that refuses to start because the platform knows no value for a placeholder of its
// settings file, as on machines without a memory limit.
#include <harness/blocking_client.h>
#include <harness/child_process.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <unistd.h>

using namespace postpaddle;
using nlohmann::json;

namespace {

constexpr const char* template_file = "deploy/gateway.yaml";

/// A loopback address of this process alone, as the template names a port.
std::string own_ip() {
    constexpr int max_networks = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process / max_networks % max_networks) + "." +
           std::to_string(1 + process % max_networks) + ".240";
}

/// What a platform fills in; each placeholder of the template is a path into it.
json make_values(const std::string& ip) {
    return {{"node", "front-1"},
            {"zone", "hall-1"},
            {"zones", {{"hall-1", "east"}}},
            {"ip", ip},
            {"listen", {{"front", ip + ":8149"}, {"ready", ip + ":8141"}, {"control", ip + ":8144"}}},
            {"internalPorts", {7380, 7395}},
            {"seeds", {ip + ":9"}},
            {"platform", {{"address", ip + ":9"}}},
            {"bootstrap", true},
            {"limits", {{"memoryMb", 110}}},
            {"bounds",
             {{"graceS", 1},
              {"retryBudgetRatio", 0.2},
              {"retrySlack", 56},
              {"retryWindowS", 10},
              {"leaseMs", 3000},
              {"requireFencing", true},
              {"configMs", 2000},
              {"drainMs", 2000}}}};
}

/// The value at a dotted path; null if there is none.
json find_value(const json& values, const std::string& path) {
    json value = values;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        if (value.is_object() && value.contains(part))
            value = json(value.at(part));
        else if (value.is_array() && part.find_first_not_of("0123456789") == std::string::npos &&
                 std::stoul(part) < value.size())
            value = json(value.at(std::stoul(part)));
        else
            return nullptr;
    }
    return value;
}

std::string to_plain(const json& value) {
    if (value.is_null())
        return "";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool is_given(const json& value) { return !value.is_null() && value != json(false) && !value.empty(); }

/// Expands a section: once for each entry of a list, once for a value that is given, or if there is none.
std::string fill_section(const std::smatch& section, const json& value) {
    const bool is_inverse = section[1] == "^";
    if (is_inverse || !is_given(value))
        return is_inverse != is_given(value) ? section[3].str() : "";
    if (!value.is_array())
        return section[3];
    std::string text;
    for (std::size_t index = 0; index < value.size(); ++index) {
        std::string entry =
            std::regex_replace(section[3].str(), std::regex(R"(\{\{\.\}\})"), to_plain(value[index]));
        text += std::regex_replace(entry, std::regex(R"(\{\{,\}\})"), index + 1 < value.size() ? "," : "");
    }
    return text;
}

/// Fills a template as the platform does: a value that does not exist gives nothing.
std::string fill(std::string text, const json& values) {
    static const std::regex section(R"(\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{/\2\}\})");
    static const std::regex placeholder(R"(\{\{([\w.]+)(\|json)?\}\})");
    for (std::smatch match; std::regex_search(text, match, section);)
        text =
            match.prefix().str() + fill_section(match, find_value(values, match[2])) + match.suffix().str();
    for (std::smatch match; std::regex_search(text, match, placeholder);) {
        const json value = find_value(values, match[1]);
        const bool is_json = match[2].matched && !value.is_null();
        text = match.prefix().str() + (is_json ? value.dump() : to_plain(value)) + match.suffix().str();
    }
    return text;
}

/// Removes the value at a dotted path.
void remove_value(json& values, const std::string& path) {
    const auto dot = path.rfind('.');
    if (dot == std::string::npos) {
        values.erase(path);
        return;
    }
    json& parent = values.at(json::json_pointer("/" + path.substr(0, dot)));
    if (parent.is_array())
        parent = json::array();
    else
        parent.erase(path.substr(dot + 1));
}

std::string read_template() {
    std::ifstream file(template_file);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> placeholders_of(const std::string& text) {
    static const std::regex any(R"(\{\{[#^]?([\w]+(?:\.[\w]+)*)(\|json)?\}\})");
    std::set<std::string> paths;
    for (std::sregex_iterator match(text.begin(), text.end(), any); match != std::sregex_iterator(); ++match)
        paths.insert((*match)[1]);
    return paths;
}

/// A settings file that is removed with this object.
struct settings_file {
    explicit settings_file(const std::string& text)
        : path((std::filesystem::temp_directory_path() / ("postpaddle-template-" + std::to_string(getpid())))
                   .string()) {
        std::ofstream(this->path + ".yaml") << text;
    }
    settings_file(const settings_file&) = delete;
    settings_file(settings_file&&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    settings_file& operator=(settings_file&&) = delete;
    ~settings_file() {
        std::filesystem::remove(this->path + ".yaml");
        std::filesystem::remove(this->path + ".log");
    }

    std::string path; ///< Without its ending.
};

stand_in::child_process start(const settings_file& file, const std::vector<std::string>& more = {}) {
    std::vector<std::string> arguments = {"--settings=" + file.path + ".yaml"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return {std::string(POSTPADDLE_PROGRAMS) + "/postpaddled", arguments, file.path + ".log"};
}

/// The line in which a host says where it listens; null if it ends without one.
json read_started(stand_in::child_process& host) {
    while (true) {
        const std::string line = host.read_line();
        if (line.empty())
            return nullptr;
        json entry = json::parse(line, nullptr, false);
        if (entry.is_object() && entry.value("event", "") == "started")
            return entry;
    }
}

/// Starts the program with the settings, and has it stop as planned.
void check_start(const std::string& settings) {
    const settings_file file(settings);
    CHECK(start(file, {"--check"}).wait() == 0);
    stand_in::child_process host = start(file);
    const json started = read_started(host);
    REQUIRE(started.is_object());
    // No settings are known without a store, so it answers that it is not ready.
    const auto readiness = stand_in::http_exchange(started.at("readiness").get<std::string>(),
                                                   {"GET", "/api/ready", {{"Host", "host"}}, ""});
    REQUIRE(readiness);
    CHECK(readiness->status == 503);
    const auto state = stand_in::get_json(started.at("peers").get<std::string>(), "/state");
    CHECK(state.is_object());
    host.send_signal(SIGTERM);
    CHECK(host.wait() == 0);
}

} // namespace

TEST_CASE("a host starts with each placeholder of the deploy template left out in turn") {
    const std::string text = read_template();
    const json values = make_values(own_ip());
    const std::set<std::string> paths = placeholders_of(text);
    REQUIRE(paths.contains("limits.memoryMb"));
    for (const std::string& path : paths) {
        INFO("without " << path);
        REQUIRE_FALSE(find_value(values, path).is_null());
        json others = values;
        remove_value(others, path);
        check_start(fill(text, others));
    }
}

TEST_CASE("a host starts with the deploy template filled in whole, and with nothing known but its address") {
    const std::string text = read_template();
    check_start(fill(text, make_values(own_ip())));
    check_start(fill(text, json{{"ip", own_ip()}}));
}

// Guards against figures that a platform writes as fractions.
TEST_CASE("a host starts with bounds and limits that are no whole numbers") {
    json values = make_values(own_ip());
    values["limits"]["memoryMb"] = 87.5;
    values["bounds"]["leaseMs"] = 2'999.5;
    values["bounds"]["drainMs"] = 2'000.0;
    check_start(fill(read_template(), values));
}
