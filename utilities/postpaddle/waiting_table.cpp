// SPDX-License-Identifier: BSD-2-Clause
#include <postpaddle/waiting_table.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iomanip>

namespace postpaddle::utility {

namespace {

using nlohmann::json;

constexpr int id_width = 34;
constexpr int name_width = 16;
constexpr int figure_width = 9;

struct queue_kind {
    const char* key;
    const char* title;
};
constexpr std::array<queue_kind, 2> queue_kinds = {
    {{"engine_slot", "for an engine slot"}, {"send_slot", "until an upstream may be sent them"}}};

/// Whole numbers, as the host gives times in fractions of milliseconds.
std::string figure_of(const json& row, const char* key) {
    const auto found = row.find(key);
    return found == row.end() || !found->is_number() ? "-" : std::to_string(found->get<std::int64_t>());
}

std::string in_time_of(const json& row) {
    const json& value = row.at("can_be_in_time");
    if (!value.is_boolean())
        return "unknown";
    return value.get<bool>() ? "yes" : "late";
}

/// Why it waits: what sets its place apart from others', and the facts of its last decision.
std::string reason_of(const json& row) {
    std::string reason;
    const auto append = [&reason](const std::string& text) { reason += (reason.empty() ? "" : ", ") + text; };
    if (row.value("is_beyond_share", false))
        append("beyond its share");
    if (row.value("is_protected", false))
        append("not overtaken any more");
    if (row.contains("due_in_ms") && row["due_in_ms"].is_number())
        append("due in " + figure_of(row, "due_in_ms") + " ms");
    const json& facts = row.at("last_decision");
    if (!facts.is_object())
        return reason.empty() ? "-" : reason;
    if (facts.contains("reason"))
        append(facts["reason"].get<std::string>());
    if (facts.contains("has_room"))
        append(facts["has_room"].get<bool>() ? "has room" : "no room");
    append(figure_of(facts, "free") + " free");
    append(figure_of(facts, "waiting_ahead") + " were ahead");
    append("expected wait " + figure_of(facts, "expected_wait_ms") + " ms");
    return reason;
}

void print_rows(std::ostream& out, const json& rows) {
    out << std::left << std::setw(id_width) << "request" << std::setw(name_width) << "organisation"
        << std::setw(name_width) << "route" << std::setw(figure_width) << "rank" << std::setw(figure_width)
        << "now" << std::setw(figure_width) << "ahead" << std::setw(figure_width) << "waited"
        << std::setw(figure_width) << "left" << std::setw(figure_width) << "in time"
        << "why\n";
    for (const json& row : rows) {
        const auto text = [&row](const char* key) {
            const auto value = row.at(key).get<std::string>();
            return value.empty() ? "-" : value;
        };
        // The space keeps names apart that are longer than their columns.
        out << std::setw(id_width - 1) << text("request") << ' ' << std::setw(name_width - 1)
            << text("organisation") << ' ' << std::setw(name_width - 1) << text("route") << ' '
            << std::setw(figure_width) << figure_of(row, "rank") << std::setw(figure_width)
            << figure_of(row, "rank_now") << std::setw(figure_width) << figure_of(row, "ahead_on_all_hosts")
            << std::setw(figure_width) << figure_of(row, "waited_ms") << std::setw(figure_width)
            << figure_of(row, "time_left_ms") << std::setw(figure_width) << in_time_of(row) << reason_of(row)
            << '\n';
    }
}

void print_queue(std::ostream& out, const std::string& service, const queue_kind& kind, const json& queue) {
    const auto total = queue.at("total").get<std::size_t>();
    const int elsewhere = queue.value("total_on_other_hosts", 0);
    if (total == 0 && elsewhere == 0)
        return;
    out << service << ": " << total << " requests wait " << kind.title;
    if (elsewhere > 0)
        out << "; " << elsewhere << " more on " << queue.at("other_hosts") << " other hosts";
    out << '\n';
    const json& rows = queue.at("rows");
    if (!rows.empty())
        print_rows(out, rows);
    if (total > rows.size())
        out << "and " << total - rows.size() << " more behind these\n";
    out << '\n';
}

bool is_known(const json& state, const std::string& service) {
    return std::ranges::any_of(state.at("instances"),
                               [&](const json& one) { return one.at("service") == service; });
}

} // namespace

bool print_waiting(std::ostream& out, const json& state, const std::string& service) {
    const auto waiting = state.find("waiting");
    if (waiting == state.end())
        return false;
    bool is_any = false;
    for (const auto& [name, queues] : waiting->items()) {
        if (!service.empty() && name != service)
            continue;
        is_any = true;
        for (const queue_kind& kind : queue_kinds)
            print_queue(out, name, kind, queues.at(kind.key));
    }
    if (is_any)
        return true;
    out << "no request waits at " << state.at("host").get<std::string>();
    if (!service.empty())
        out << " for " << service
            << (is_known(state, service) ? "" : ", and it knows no instance of that service");
    out << '\n';
    return true;
}

} // namespace postpaddle::utility
