// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/quarantine/quarantine_exchange.h>

#include <host/adaptive_timeout.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Interval of expiry and of checks for notes to store. A host detects a partition after two seconds; what it
/// has seen by then must reach the others within another second.
constexpr base::duration check_interval = 250ms;
/// Number of random hosts that a new report is forwarded to in a large system. In a small one it is forwarded
/// to all, which reaches hosts that cannot receive from the sender.
constexpr std::size_t forward_count = 3;
/// Expected number of hosts per second that store the same missing note, in case the host that saw the last
/// crash could not.
constexpr double notes_per_second = 2;
/// Timeout of storing a note.
constexpr auto note_timeout = 900ms;
/// Interval at which a host checks whether to follow the notes, and pause after a failed read.
constexpr base::duration follow_check_interval = 250ms;
constexpr base::duration failure_pause = 1'000ms;
/// Duration of a long-polling read of the notes.
constexpr auto long_poll_wait = 10'000ms;

} // namespace

quarantine_exchange::quarantine_exchange(gateway_state& state, ports::control_feed& feed,
                                         peer_datagrams& datagrams)
    : state(&state), feed(&feed), datagrams(&datagrams), check_timer(*state.context) {}

void quarantine_exchange::start() {
    this->state->on_suspect_seen = [this](const host::suspect_report& seen) { this->did_observe(seen); };
    this->state->on_suspects_reported = [this](const std::vector<host::suspect_report>& reports,
                                               const std::string& sender) {
        this->handle_reports(reports, sender);
    };
    this->datagrams->on(datagram_kind::quarantine,
                        [this](std::string_view bytes) { return this->handle(bytes); });
    this->schedule_check();
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->follow_store(yield); });
}

bool quarantine_exchange::is_quarantined(const host::request_fingerprint& request) const {
    return host::remaining_hold(this->state->quarantine, this->state->quarantine_options, request,
                                this->state->clock->now())
        .has_value();
}

bool quarantine_exchange::handle(std::string_view bytes) {
    const auto message = decode_quarantine(bytes, this->state->clock->now());
    if (!message)
        return false;
    if (message->host == this->state->process->name)
        return true;
    host::record_received(this->state->peers, message->host, this->state->clock->now());
    const auto known = this->state->peers.by_name.find(message->host);
    this->handle_reports(message->reports,
                         known == this->state->peers.by_name.end() ? "" : known->second.address);
    return true;
}

void quarantine_exchange::handle_reports(const std::vector<host::suspect_report>& reports,
                                         const std::string& sender) {
    for (const host::suspect_report& report : reports) {
        this->handle_report(report);
        this->clear_suspect(report, sender);
    }
}

void quarantine_exchange::handle_report(const host::suspect_report& report) {
    const auto update = this->apply_report(report, "peer");
    // Runs that clear a part of prompts come in quick succession; each host tells of its own.
    const bool is_news = update && (!host::is_prompt_part(report.request) || !update->exits.empty());
    if (is_news) {
        const base::time_point now = this->state->clock->now();
        std::vector<std::string> addresses = host::addresses_of_all(this->state->peers, now);
        std::ranges::shuffle(addresses, this->state->random);
        if (addresses.size() > host::max_hosts_in_small_cluster)
            addresses.resize(forward_count);
        this->send({*update}, addresses);
    }
}

std::optional<host::suspect_report> quarantine_exchange::apply_report(const host::suspect_report& report,
                                                                      const char* origin) {
    const bool was_quarantined = this->is_quarantined(report.request);
    auto update = host::apply_report(this->state->quarantine, this->state->quarantine_options, report,
                                     this->state->clock->now());
    if (!update)
        return std::nullopt;
    this->count_suspects();
    const bool is_now_quarantined = this->is_quarantined(report.request);
    if (!update->exits.empty() || is_now_quarantined != was_quarantined)
        this->state->log->write(
            "request_suspected",
            {{"fingerprint", host::to_text(report.request)},
             {"is_held", is_now_quarantined},
             {"is_prompt_part", host::is_prompt_part(report.request)},
             {"ends", host::report_of(this->state->quarantine, report.request).exits.size()},
             {"heard_from", origin}});
    // An outdated note would quarantine the request on hosts that start later.
    const auto own = this->own.find(report.request);
    if (update->last_success && own != this->own.end() && own->second.has_note)
        this->store_note(report.request);
    return update;
}

void quarantine_exchange::clear_suspect(const host::suspect_report& reported, const std::string& sender) {
    if (host::knows_later_success(this->state->quarantine, reported))
        this->send({host::report_of(this->state->quarantine, reported.request)}, {sender});
}

void quarantine_exchange::did_observe(const host::suspect_report& report) {
    const auto update = this->apply_report(report, "own");
    if (!update)
        return;
    const base::time_point now = this->state->clock->now();
    this->send({*update}, host::addresses_of_all(this->state->peers, now));
    if (update->exits.empty())
        return;
    this->own[report.request].is_due = true;
    if (this->is_quarantined(report.request))
        this->store_note(report.request);
    else
        this->store_due_notes();
}

void quarantine_exchange::send(const std::vector<host::suspect_report>& reports,
                               const std::vector<std::string>& addresses) {
    const base::time_point now = this->state->clock->now();
    this->datagrams->send(datagram_kind::quarantine,
                          encode_quarantine({this->state->process->name, reports}, now), addresses);
}

void quarantine_exchange::schedule_check() {
    this->check_timer.expires_after(check_interval);
    this->check_timer.async_wait([this](const wire::error_code& error) {
        if (error)
            return;
        host::evict_expired(this->state->quarantine, this->state->quarantine_options,
                            this->state->clock->now());
        this->count_suspects();
        this->store_quarantined();
        this->store_due_notes();
        this->delete_old_notes();
        this->schedule_check();
    });
}

void quarantine_exchange::count_suspects() const {
    const auto& suspects = this->state->quarantine.suspects;
    this->state->metrics->set("suspected_requests", static_cast<double>(suspects.size()));
}

void quarantine_exchange::store_quarantined() {
    const double notes_per_check = notes_per_second * base::to_seconds(check_interval);
    const double probability = std::min(1.0, notes_per_check / hosts_alive(*this->state));
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<host::request_fingerprint> unstored;
    for (const auto& [request, suspect] : this->state->quarantine.suspects)
        if (!suspect.is_stored && this->is_quarantined(request))
            unstored.push_back(request);
    for (const host::request_fingerprint& request : unstored)
        if (draw(this->state->random) < probability)
            this->store_note(request);
}

void quarantine_exchange::store_due_notes() {
    if (!host::may_miss_updates(this->state->peers, this->state->clock->now()))
        return;
    for (const auto& [request, own] : this->own)
        if (own.is_due)
            this->store_note(request);
}

void quarantine_exchange::store_note(const host::request_fingerprint& request) {
    note_status& own = this->own[request];
    own.has_note = true;
    own.is_due = false;
    wire::spawn_coroutine(*this->state->context, [this, request](wire::yield_context yield) {
        const host::suspect_report report = host::report_of(this->state->quarantine, request);
        const ports::quarantine_note note =
            encode_quarantine_note(report, this->state->process->name, *this->state->clock);
        const bool is_quarantined = this->is_quarantined(request);
        const bool is_written = this->feed->write_quarantine_note(note, note_timeout, yield).has_value();
        this->state->metrics->count(is_written ? "quarantine_notes_total" : "quarantine_notes_failed_total");
        if (!is_written)
            this->own[request].is_due = true;
        if (!is_written || !is_quarantined)
            return;
        host::record_stored(this->state->quarantine, request);
        const base::time_point now = this->state->clock->now();
        this->send({host::report_of(this->state->quarantine, request)},
                   host::addresses_of_all(this->state->peers, now));
    });
}

void quarantine_exchange::delete_old_notes() {
    const auto& suspects = this->state->quarantine.suspects;
    const auto& good = this->state->quarantine.last_success;
    const auto old = std::ranges::find_if(this->own, [&](const auto& item) {
        return !suspects.contains(item.first) && !good.contains(item.first);
    });
    if (old == this->own.end())
        return;
    const bool has_note = old->second.has_note;
    const host::request_fingerprint request = old->first;
    this->own.erase(old);
    if (!has_note)
        return;
    const ports::quarantine_note deleted = {encode_quarantine_note({.request = request, .exits = {}},
                                                                   this->state->process->name,
                                                                   *this->state->clock)
                                                .key,
                                            std::nullopt};
    wire::spawn_coroutine(*this->state->context, [this, deleted](wire::yield_context yield) {
        // If this fails, the remaining note is too old to quarantine the request.
        (void)this->feed->write_quarantine_note(deleted, note_timeout, yield);
    });
}

ports::feed_result<void> quarantine_exchange::read_store(wire::yield_context yield) {
    const host::adaptive_timeout timeout;
    auto page = this->has_read
                    ? this->feed->quarantine_notes_after(
                          this->next_offset, {.wait = long_poll_wait, .limit = timeout.limit}, yield)
                    : this->feed->newest_quarantine_notes({.limit = timeout.limit}, yield);
    if (!page) {
        this->has_read &= page.error().failure != ports::feed_failure::history_lost;
        return tl::make_unexpected(page.error());
    }
    this->has_read = true;
    this->next_offset = page->next;
    for (const ports::quarantine_note& note : page->notes)
        this->handle_note(note);
    return {};
}

void quarantine_exchange::handle_note(const ports::quarantine_note& note) {
    const auto report = decode_quarantine_note(note, *this->state->clock);
    if (!report)
        return;
    (void)this->apply_report(*report, "store");
    if (this->is_quarantined(report->request))
        host::record_stored(this->state->quarantine, report->request);
}

void quarantine_exchange::follow_store(wire::yield_context yield) {
    wire::boot_timer timer(*this->state->context);
    wire::error_code ignored;
    while (true) {
        const bool must_read =
            !this->has_read || host::may_miss_updates(this->state->peers, this->state->clock->now());
        const bool has_failed = must_read && !this->read_store(yield);
        timer.expires_after(has_failed ? failure_pause : follow_check_interval);
        timer.async_wait(yield[ignored]);
    }
}

} // namespace postpaddle::gateway
