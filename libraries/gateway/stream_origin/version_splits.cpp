// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/version_splits.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Time for which a caller may return to a stream, in time limits of the slowest route of its service.
constexpr int return_factor = 2;
/// How long a host takes at most to learn of a new split, beyond its polls.
constexpr base::duration retention_margin = 10s;
constexpr base::duration check_interval = 50ms;
/// Least pause between two looks at all upstreams, whose number has no bound.
constexpr base::duration view_interval = 200ms;
constexpr base::duration retry_interval = 250ms;
/// Reads of all hosts together while a service has several splits.
constexpr double reads_per_second = 100;
constexpr base::duration min_poll_interval = 1s;
/// How long the hosts after the first wait before they write in its place, and how much longer the last.
constexpr base::duration takeover_delay = 1s;
constexpr base::duration takeover_spread = 4s;
constexpr auto call_timeout = std::chrono::milliseconds(400);

} // namespace

base::duration longest_return(const gateway_state& state, const std::string& service) {
    base::duration longest{};
    for (const settings::route_entry& route : state.settings->document.value->routes)
        if (std::ranges::any_of(route.services, [&](const auto& part) { return part.service == service; }))
            longest = std::max<base::duration>(longest, return_factor * route.time_limit);
    return longest;
}

version_splits::version_splits(gateway_state& state, ports::control_feed& feed)
    : state(&state), feed(&feed),
      log(state, {.read_newest =
                      [this](wire::yield_context yield) {
                          return this->feed->newest_service_notes(call_timeout, yield);
                      },
                  .read_after =
                      [this](std::uint64_t offset, wire::yield_context yield) {
                          return this->feed->service_notes_after(offset, call_timeout, yield);
                      },
                  .apply = [this](const ports::service_note_page& page) { this->apply(page); },
                  .did_read =
                      [this](bool is_complete) {
                          this->state->metrics->count(is_complete ? "split_reads_total"
                                                                  : "split_reads_failed_total");
                      }}) {}

void version_splits::start(std::function<void(const std::string& service)> on_change) {
    this->on_change = std::move(on_change);
    this->state->splits = this;
    wire::spawn_coroutine(*this->state->context, [this](wire::yield_context yield) { this->run(yield); });
}

const service_splits* version_splits::find(const std::string& service) const {
    const auto found = this->stored.find(service);
    const bool is_known = found != this->stored.end() && !this->unreadable_services.contains(service);
    return is_known ? &found->second : nullptr;
}

std::vector<std::string> version_splits::services_of(const std::string& route) const {
    std::vector<std::string> services;
    for (const auto& [service, splits] : this->stored)
        if (splits.routes.contains(route))
            services.push_back(service);
    return services;
}

bool version_splits::covers_registry(const std::string& service) const {
    const service_splits* const splits = this->find(service);
    if (splits == nullptr)
        return false;
    const auto known = decision::versions_in(splits->history);
    return std::ranges::all_of(this->state->instances.by_id, [&](const auto& item) {
        const settings::upstream_entry& entry = item.second.entry;
        return entry.service != service || known.contains(entry.software_version);
    });
}

bool version_splits::is_confirmed(const std::string& service) const {
    if (!this->log.known_at())
        return false;
    const auto view = this->views.find(service);
    const service_splits* const splits = this->find(service);
    if (view == this->views.end() || splits == nullptr)
        return false;
    const auto known = decision::versions_in(splits->history);
    if (!std::ranges::includes(known, view->second.versions))
        return false;
    const base::duration age = this->state->clock->now() - *this->log.known_at();
    return known.size() == 1 || age < 2 * this->poll_interval() + call_timeout;
}

base::duration version_splits::poll_interval() const {
    const double hosts = std::max(this->state->participating_hosts, 1);
    return std::max(min_poll_interval, base::from_seconds(hosts / reads_per_second));
}

base::duration version_splits::retention_of(const std::string& service) const {
    return longest_return(*this->state, service) + retention_margin + 3 * this->poll_interval();
}

bool version_splits::has_several_splits() const {
    return std::ranges::any_of(this->stored, [](const auto& item) {
        return item.second.history.splits.size() > 1 || decision::has_several_versions(item.second.history);
    });
}

void version_splits::did_read_elsewhere(std::uint64_t other_end) {
    if (other_end > this->end())
        this->newer_heard_at = this->state->clock->now();
}

bool version_splits::are_newer_elsewhere() const {
    const auto known_at = this->log.known_at();
    return this->newer_heard_at && (!known_at || *known_at < *this->newer_heard_at);
}

bool version_splits::refresh(wire::yield_context yield) { return this->log.refresh(yield); }

void version_splits::apply(const ports::service_note_page& page) {
    const base::time_point now = this->state->clock->now();
    for (const ports::service_note& note : page.notes) {
        const auto splits = note.text ? decode_splits(*note.text) : std::nullopt;
        if (note.text && !splits) {
            this->state->metrics->count("unreadable_split_notes_total");
            this->unreadable_services.insert(note.service);
            continue;
        }
        this->unreadable_services.erase(note.service);
        if (!splits)
            continue;
        record_ages(this->ages[note.service], *splits, this->views[note.service], now);
        service_splits& known = this->stored[note.service];
        if (known == *splits)
            continue;
        known = *splits;
        this->state->log->write_always("version_splits", {{"service", note.service}, {"splits", *note.text}});
        this->on_change(note.service);
    }
}

void version_splits::update_views() {
    const base::time_point now = this->state->clock->now();
    const bool has_changed = this->registry_revision != this->state->registry_revision ||
                             this->settings_revision != settings_version(*this->state);
    if (!has_changed || now - this->views_made_at < view_interval)
        return;
    this->views_made_at = now;
    this->registry_revision = this->state->registry_revision;
    this->settings_revision = settings_version(*this->state);
    this->views = view_services(*this->state->settings->document.value, this->state->instances);
    for (const auto& [service, splits] : this->stored)
        record_ages(this->ages[service], splits, this->views[service], now);
}

std::vector<std::pair<std::string, service_splits>> version_splits::find_updates() const {
    std::vector<std::pair<std::string, service_splits>> updates;
    const base::time_point now = this->state->clock->now();
    for (const auto& [service, view] : this->views) {
        if (this->unreadable_services.contains(service))
            continue;
        const service_splits* const known = this->find(service);
        const auto aged = this->ages.find(service);
        const expired_splits expired = aged == this->ages.end()
                                           ? expired_splits{}
                                           : find_expired(aged->second, this->retention_of(service), now);
        auto updated = update_splits(known == nullptr ? std::nullopt : std::optional(*known), view, expired);
        if (updated)
            updates.emplace_back(service, std::move(*updated));
    }
    return updates;
}

bool version_splits::is_read_due() const {
    const base::duration since = this->state->clock->now() - this->log.read_at();
    if (!this->log.known_at())
        return since >= retry_interval;
    const bool is_polling =
        this->has_several_splits() || this->mismatched_since || this->are_newer_elsewhere();
    return is_polling && since >= this->poll_interval();
}

bool version_splits::is_write_due() const {
    if (!this->log.known_at() || !this->mismatched_since)
        return false;
    const base::time_point now = this->state->clock->now();
    const bool has_failed = this->log.known_at() != this->log.read_at();
    if ((has_failed && now - this->log.read_at() < retry_interval) || now - this->written_at < retry_interval)
        return false;
    const double position = this->state->position_among_hosts;
    const bool is_first = position * this->state->participating_hosts < 1;
    const base::duration delay =
        is_first ? 0ms : takeover_delay + base::from_seconds(position * base::to_seconds(takeover_spread));
    return now - *this->mismatched_since >= delay;
}

void version_splits::write_updates(wire::yield_context yield) {
    this->written_at = this->state->clock->now();
    if (!this->refresh(yield))
        return;
    for (const auto& [service, splits] : this->find_updates()) {
        const auto written = this->feed->write_service_note({service, encode_splits(splits)},
                                                            *this->log.end(), call_timeout, yield);
        this->state->metrics->count(written ? "split_writes_total" : "split_writes_failed_total");
        // The next conditional write needs the new end, and another host may have written.
        if (!this->refresh(yield) || !written)
            return;
    }
}

void version_splits::run(wire::yield_context yield) {
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    while (true) {
        if (this->state->settings && this->state->has_registry) {
            this->update_views();
            if (this->find_updates().empty())
                this->mismatched_since.reset();
            else if (!this->mismatched_since)
                this->mismatched_since = this->state->clock->now();
            if (this->is_write_due())
                this->write_updates(yield);
            else if (this->is_read_due())
                (void)this->refresh(yield);
        }
        timer.expires_after(check_interval);
        timer.async_wait(yield[ignored]);
    }
}

} // namespace postpaddle::gateway
