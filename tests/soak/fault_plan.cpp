// SPDX-License-Identifier: BSD-2-Clause
#include <soak/fault_plan.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace postpaddle::soak {

namespace {

using enum fault_kind;

/// Before the first fault, so that all callers are at work.
constexpr milliseconds quiet_start(500);
/// Mean time between two draws. A series counts as one.
constexpr milliseconds mean_gap(500);
/// The same for releases and losses of all hosts: streams must have time to begin and to go on.
constexpr milliseconds mean_gap_of_releases(1'200);
/// From the restart after a loss of all hosts to the next loss, at least.
constexpr milliseconds time_between_losses(4'000);
/// Assumed time from a host's stop to its exit, and from its start until it is ready.
constexpr milliseconds stop_time(4'000);
constexpr milliseconds start_time(1'500);
/// From the announcement of a leaving server to its end: longer than the bound for new requests.
constexpr milliseconds leaving_time(5'000);

struct weighted_kind {
    fault_kind kind;
    int weight;
};

std::vector<weighted_kind> kinds_of(fault_mix mix) {
    if (mix == fault_mix::releases)
        return {{engines_release, 4}, {hosts_all_kill, 4}, {host_kill, 2},  {host_freeze, 2}, {host_stop, 1},
                {host_reload, 1},     {server_break, 2},   {store_slow, 1}, {store_down, 1}};
    if (mix == fault_mix::breaks)
        return {{server_close, 8}, {server_refuse, 3}, {server_break, 3},   {server_lose, 2},
                {server_kill, 1},  {host_stop, 2},     {host_kill, 3},      {hosts_all_kill, 1},
                {host_freeze, 1},  {host_reload, 1},   {settings_change, 1}};
    if (mix == fault_mix::combined)
        return {{engines_release, 2}, {hosts_all_kill, 2}, {server_close, 5},    {server_refuse, 2},
                {server_break, 3},    {server_lose, 2},    {server_kill, 1},     {links_fail, 4},
                {answers_cut, 4},     {engines_close, 4},  {host_stop, 2},       {host_kill, 2},
                {host_freeze, 1},     {host_reload, 1},    {settings_change, 1}, {store_down, 1},
                {store_lose, 1}};
    if (mix == fault_mix::departures)
        return {{server_leave, 4},      {server_leave_silently, 6}, {server_restart, 4},
                {hosts_turned_away, 8}, {store_forget, 8},          {odd_entry, 3},
                {server_kill, 1},       {host_reload, 1},           {settings_change, 1},
                {stream_silence, 1}};
    if (mix == fault_mix::memory)
        return {{server_endless, 8}, {host_stop, 6},      {host_reload, 1},   {settings_change, 2},
                {server_late, 1},    {stream_silence, 1}, {server_silence, 1}};
    if (mix == fault_mix::crowds)
        return {{client_crowd, 8},   {host_stop, 4},   {host_reload, 1},   {settings_change, 3},
                {server_endless, 3}, {server_late, 1}, {server_silence, 1}};
    std::vector<weighted_kind> kinds = {
        {host_stop, 3}, {host_reload, 2}, {settings_change, 4}, {server_silence, 3}, {stream_silence, 4}};
    if (mix == fault_mix::servers || mix == fault_mix::all)
        kinds.insert(kinds.end(), {{server_kill, 2},
                                   {server_leave, 2},
                                   {server_leave_silently, 1},
                                   {server_refuse, 2},
                                   {server_late, 1},
                                   {server_double, 1},
                                   {server_copy, 2},
                                   {server_break, 2},
                                   {server_lose, 1},
                                   {server_endless, 3}});
    if (mix == fault_mix::hosts || mix == fault_mix::all)
        kinds.insert(kinds.end(),
                     {{host_kill, 2}, {host_freeze, 3}, {store_slow, 2}, {store_down, 2}, {store_lose, 1}});
    return kinds;
}

/// Draws from a seed. The standard distributions differ between libraries, so they are not used.
class draws {
public:
    explicit draws(std::uint64_t seed) : engine(seed) {}

    int between(int low, int high) {
        const auto count = static_cast<std::uint64_t>(high - low) + 1;
        return low + static_cast<int>(this->engine() % count);
    }
    milliseconds time(int low_ms, int high_ms) { return milliseconds(this->between(low_ms, high_ms)); }

    fault_kind kind(const std::vector<weighted_kind>& kinds) {
        int total = 0;
        for (const weighted_kind& row : kinds)
            total += row.weight;
        int left = this->between(1, total);
        for (const weighted_kind& row : kinds) {
            left -= row.weight;
            if (left <= 0)
                return row.kind;
        }
        return kinds.back().kind;
    }

private:
    std::mt19937_64 engine;
};

/// Who is away until when, so that no kind of process is away as a whole.
class absences {
public:
    /// Notes the absence unless the member is away already or half of its group of `size` are.
    bool try_add(const std::string& group, int member, int size, milliseconds from, milliseconds to) {
        auto& ends = this->ends_of_group[group];
        const auto away = std::ranges::count_if(ends, [&](const auto& row) { return row.second > from; });
        if (ends[member] > from || (away + 1) * 2 > std::max(2, size))
            return false;
        ends[member] = to;
        return true;
    }

private:
    std::map<std::string, std::map<int, milliseconds>> ends_of_group;
};

bool is_for_decode_engines(fault_kind kind) { return kind == stream_silence || kind == server_break; }

/// Of the answers on a connection: within the first head, the first body or a later answer.
constexpr int most_bytes_before_cut = 1'500;

/// Of an amount from which the fault itself is drawn.
constexpr int max_draw = 1'000'000;

class plan_maker {
public:
    explicit plan_maker(const plan_options& options) : options(options), random(options.seed) {}

    fault_plan make() {
        fault_plan plan;
        plan.options = this->options;
        plan.mix = this->options.mix.value_or(static_cast<fault_mix>(this->options.seed % mixes_of_seeds));
        plan.has_limited_budget = this->random.between(0, 1) == 1;
        const bool is_release = plan.mix == fault_mix::releases;
        this->is_about_departures = plan.mix == fault_mix::departures;
        if (has_software_versions(plan.mix)) {
            // Take-ups cost budget, and may only be refused for want of a server of their version.
            plan.has_limited_budget = false;
            plan.has_two_versions = this->random.between(0, 1) == 1;
            this->add_first_loss();
        }
        if (plan.mix == fault_mix::breaks || plan.mix == fault_mix::combined)
            plan.has_limited_budget = true;
        const auto kinds = kinds_of(plan.mix);
        const milliseconds gap = is_release ? mean_gap_of_releases : mean_gap;
        for (milliseconds at = quiet_start; at < this->options.length;
             at += this->random.time(50, 2 * static_cast<int>(gap.count())))
            this->add(this->random.kind(kinds), at);
        std::ranges::stable_sort(this->faults, {}, &planned_fault::at);
        std::erase_if(this->faults, [&](const auto& row) { return row.at > this->options.length; });
        plan.faults = std::move(this->faults);
        return plan;
    }

private:
    void add(fault_kind kind, milliseconds at) {
        switch (kind) {
        case engines_release:
            this->add_release(at);
            break;
        case hosts_all_kill:
            this->add_loss_of_all(at);
            break;
        case host_stop:
        case host_kill:
        case host_freeze:
        case host_reload:
            this->add_host_fault(kind, at);
            break;
        case client_crowd:
            this->faults.push_back({at, kind, this->random.between(1, this->options.hosts),
                                    this->random.time(500, 5'000), this->random.between(0, max_draw)});
            break;
        case engines_close:
            this->faults.push_back(
                {at, kind, 0, this->random.time(2'000, 6'000), this->random.between(30, 70)});
            break;
        case links_fail:
        case answers_cut:
            this->add_link_fault(kind, at);
            break;
        case settings_change:
            this->add_settings_series(at);
            break;
        case store_slow:
            this->faults.push_back(
                {at, kind, 0, this->random.time(500, 4'000), this->random.between(20, 300)});
            break;
        case store_down:
            this->faults.push_back({at, kind, 0, this->random.time(300, 4'000), this->random.between(0, 2)});
            break;
        case hosts_turned_away:
            this->add_turning_away(at);
            break;
        case store_forget:
            this->faults.push_back(
                {at, kind, 0, this->random.time(100, 1'500), this->random.between(0, max_draw)});
            break;
        case odd_entry:
            this->faults.push_back({at, kind, 0, milliseconds(0), this->random.between(0, max_draw)});
            break;
        case store_lose:
            this->faults.push_back({at, kind, 0, milliseconds(0), this->random.between(1, 3)});
            break;
        default:
            this->add_server_fault(kind, at);
            break;
        }
    }

    /// Each plan has a loss of all hosts, most of them within seconds of a release.
    void add_first_loss() {
        const milliseconds at = quiet_start + this->random.time(1'000, 2'500);
        if (this->random.between(0, 3) > 0)
            this->add_release(at);
        this->add_loss_of_all(at + this->random.time(100, 4'000));
    }

    void add_release(milliseconds at) {
        this->faults.push_back({at, engines_release, 0, milliseconds(0), this->random.between(0, 2)});
        if (this->random.between(0, 1) == 1)
            this->add_loss_of_all(at + this->random.time(100, 4'000));
    }

    /// Leaves the loss out if it is too near to another one.
    void add_loss_of_all(milliseconds at) {
        const milliseconds lasts = this->random.time(100, 1'500);
        const milliseconds apart = lasts + start_time + time_between_losses;
        if (std::ranges::any_of(this->losses,
                                [&](milliseconds other) { return std::chrono::abs(other - at) < apart; }))
            return;
        this->losses.push_back(at);
        this->faults.push_back({at, hosts_all_kill, 0, lasts});
    }

    void add_host_fault(fault_kind kind, milliseconds at) {
        const int host = this->random.between(1, this->options.hosts);
        if (kind == host_reload) {
            const int signals = this->random.between(1, 6);
            for (int number = 0; number < signals; ++number) {
                this->faults.push_back({at, kind, host});
                at += this->random.time(20, 400);
            }
            return;
        }
        const milliseconds lasts =
            kind == host_freeze ? this->random.time(200, 4'000) : this->random.time(100, 2'500);
        const milliseconds away = kind == host_freeze ? lasts
                                  : kind == host_kill ? lasts + start_time
                                                      : stop_time + lasts + start_time;
        if (this->away.try_add("hosts", host, this->options.hosts, at, at + away))
            this->faults.push_back({at, kind, host, lasts});
    }

    /// Other hosts can still reach the servers.
    void add_link_fault(fault_kind kind, milliseconds at) {
        const int host = this->random.between(1, this->options.hosts);
        const milliseconds lasts = this->random.time(300, 3'000);
        const int amount = this->random.between(0, kind == links_fail ? max_draw : most_bytes_before_cut);
        if (this->away.try_add("links", host, this->options.hosts, at, at + lasts))
            this->faults.push_back({at, kind, host, lasts, amount});
    }

    /// One at a time, as the store has one way to turn hosts away.
    void add_turning_away(milliseconds at) {
        const milliseconds lasts = this->random.time(500, 8'000);
        if (!this->away.try_add("store", 0, 2, at, at + lasts))
            return;
        const int host = this->random.between(1, this->options.hosts);
        this->faults.push_back({at, hosts_turned_away, host, lasts, this->random.between(0, max_draw)});
    }

    void add_settings_series(milliseconds at) {
        const int changes = this->random.between(1, 8);
        for (int number = 0; number < changes; ++number) {
            this->faults.push_back(
                {at, settings_change, 0, milliseconds(0), this->random.between(0, max_draw)});
            at += this->random.time(100, 2'000);
        }
    }

    void add_server_fault(fault_kind kind, milliseconds at) {
        const auto& places = server_places();
        int place = this->random.between(0, static_cast<int>(places.size()) - 1);
        while (is_for_decode_engines(kind) && std::string(places.at(place).stage) != "decode")
            place = this->random.between(0, static_cast<int>(places.size()) - 1);
        planned_fault fault{at, kind, place, this->random.time(1'000, 3'000), this->random.between(1, 4)};
        if (kind == stream_silence)
            fault.amount = this->random.between(1, 8);
        if (kind == server_late)
            fault.amount = this->random.between(50, 400);
        if (kind == server_refuse)
            fault.amount = this->random.between(1, 20);
        if (kind == server_endless)
            fault.amount = this->random.between(0, max_draw);
        if (kind == server_close)
            fault.amount = this->random.between(10, 80);
        if (kind == server_restart)
            fault.amount = this->random.between(0, 3) == 0 ? 0 : this->random.between(1, max_draw);
        const bool is_end = kind == server_kill || kind == server_leave || kind == server_leave_silently;
        const milliseconds away =
            fault.lasts + (kind == server_kill ? milliseconds(0) : leaving_time) + start_time;
        const std::string group = std::string(places.at(place).service) + places.at(place).stage;
        const auto size = std::ranges::count_if(
            places, [&](const server_place& row) { return std::string(row.service) + row.stage == group; });
        // All of a kind may leave at once only where that is the matter.
        const int may_be_away = static_cast<int>(size) * (this->is_about_departures ? 2 : 1);
        if (!is_end || this->away.try_add(group, place, may_be_away, at, at + away))
            this->faults.push_back(fault);
    }

    plan_options options;
    draws random;
    absences away;
    bool is_about_departures = false; ///< Whether all servers of a kind may be away at once.
    std::vector<milliseconds> losses; ///< Times of the losses of all hosts.
    std::vector<planned_fault> faults;
};

} // namespace

const char* to_text(fault_kind kind) {
    static constexpr std::array names = {
        "host_stop",      "host_reload",       "host_kill",       "host_freeze",  "settings_change",
        "server_silence", "stream_silence",    "server_kill",     "server_leave", "server_leave_silently",
        "server_refuse",  "server_late",       "server_double",   "server_copy",  "server_break",
        "server_lose",    "server_endless",    "store_slow",      "store_down",   "store_lose",
        "hosts_all_kill", "server_close",      "engines_release", "links_fail",   "engines_close",
        "answers_cut",    "hosts_turned_away", "server_restart",  "odd_entry",    "store_forget",
        "client_crowd"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* to_text(fault_mix mix) {
    static constexpr std::array names = {"planned", "servers",  "hosts",      "all",    "releases",
                                         "breaks",  "combined", "departures", "memory", "crowds"};
    return names.at(static_cast<std::size_t>(mix));
}

bool is_about_memory(fault_mix mix) { return mix == fault_mix::memory || mix == fault_mix::crowds; }

bool has_software_versions(fault_mix mix) { return mix == fault_mix::releases || mix == fault_mix::combined; }

const std::vector<server_place>& server_places() {
    static const std::vector<server_place> places = {
        {"s1", "plain", ""},         {"s2", "plain", ""},          {"o1", "other", ""},
        {"o2", "other", ""},         {"p1", "engines", "prefill"}, {"p2", "engines", "prefill"},
        {"d1", "engines", "decode"}, {"d2", "engines", "decode"},  {"d3", "engines", "decode"},
        {"d4", "engines", "decode"}};
    return places;
}

std::optional<int> half_of_engines(int place) {
    const std::string name = server_places().at(static_cast<std::size_t>(place)).name;
    if (name == "p1" || name == "d1" || name == "d2")
        return 0;
    if (name == "p2" || name == "d3" || name == "d4")
        return 1;
    return std::nullopt;
}

bool fault_plan::operator==(const fault_plan& other) const {
    return this->mix == other.mix && this->has_limited_budget == other.has_limited_budget &&
           this->has_two_versions == other.has_two_versions && this->faults == other.faults;
}

fault_plan make_plan(const plan_options& options) { return plan_maker(options).make(); }

} // namespace postpaddle::soak
