// SPDX-License-Identifier: BSD-2-Clause
#include <service/settings_controller.h>

#include <base/json_parser.h>
#include <service/log.h>

#include <host/rendezvous.h>

#include <nlohmann/json.hpp>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto long_poll_timeout = 2'000ms;
constexpr auto retry_delay = 200ms;
constexpr auto snapshot_check_interval = 2'000ms;
/// A snapshot is written after this many records, or after `max_snapshot_age` even if nothing has changed.
constexpr settings::log_offset snapshot_record_interval = 64;
constexpr base::duration max_snapshot_age = 300s;
constexpr auto append_timeout = 2'000ms;
constexpr auto peer_call_timeout = 1'000ms;
constexpr auto peer_check_interval = 500ms;
/// Contacts with the log or a peer that are older than this don't count in `is_current`.
constexpr base::duration contact_timeout = 5'000ms;
constexpr const char* snapshot_owner_key = "settings-snapshots";

bool is_recent(const std::optional<base::time_point>& contacted_at, base::time_point now) {
    return contacted_at && now - *contacted_at < contact_timeout;
}

} // namespace

void settings_controller::start() {
    wire::asio::io_context& context = *this->control->context;
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->follow(yield); });
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->write_snapshots(yield); });
    wire::spawn_coroutine(context,
                          [this](wire::yield_context yield) { this->sync_with_peers_forever(yield); });
}

bool settings_controller::is_current() const {
    if (!this->control->settings->current())
        return false;
    const base::time_point now = this->control->clock->now();
    if (is_recent(this->control->last_log_response_at, now) ||
        is_recent(this->control->last_peer_log_report_at, now))
        return true;
    // Neither this host nor a peer reaches the log: presumably no change can be accepted, so the settings
    // stay valid. A host that reaches no peer either cannot distinguish this from being isolated itself.
    const bool has_others = !this->control->members.others.empty();
    return !has_others || is_recent(this->control->last_peer_response_at, now);
}

void settings_controller::follow(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        if (!this->read_once(yield))
            this->control->pause(retry_delay, yield);
    }
}

bool settings_controller::read_once(wire::yield_context yield) {
    settings::settings_state& state = this->control->replayed_settings;
    const auto page = this->control->log->read(settings_stream, state.next_offset, long_poll_timeout, yield);
    if (!page)
        return false;
    this->control->last_log_response_at = this->control->clock->now();
    const bool was_evaluating = state.phase == settings::replay_phase::evaluating;
    settings::update_earliest_offset(state, page->earliest);
    if (state.phase == settings::replay_phase::needs_base_state) {
        if (was_evaluating) {
            ++this->control->process_metrics->counters.lost_settings;
            log_warning("settings_records_lost", {{"earliest", std::to_string(page->earliest)}});
        }
        if (!this->restore_base(yield))
            return false;
        this->publish_settings();
        return true;
    }
    for (const wire::log_record& record : page->records)
        settings::apply_record(state, record.offset, record.payload);
    this->publish_settings();
    return true;
}

bool settings_controller::restore_base(wire::yield_context yield) {
    settings::log_offset from = 1;
    bool was_restored = false;
    while (true) {
        const auto page = this->control->log->read(snapshots_stream, from, 0ms, yield);
        if (!page)
            return was_restored;
        if (page->records.empty() && from >= page->next)
            break;
        // A page that does not move on is no better than none.
        if (page->records.empty())
            return was_restored;
        from = std::max(from, page->earliest);
        for (const wire::log_record& record : page->records) {
            from = record.offset + 1;
            settings::settings_state candidate = this->control->replayed_settings;
            candidate.phase = settings::replay_phase::needs_base_state;
            if (settings::apply_snapshot(candidate, record.payload)) {
                this->control->replayed_settings = std::move(candidate);
                was_restored = true;
            }
        }
    }
    if (!was_restored)
        this->sync_with_peers(yield);
    return this->control->replayed_settings.phase == settings::replay_phase::evaluating;
}

void settings_controller::publish_settings() {
    const settings::settings_state& state = this->control->replayed_settings;
    if (state.next_offset != this->control->members.self.settings_offset) {
        host::member changed = this->control->members.self;
        changed.settings_offset = state.next_offset;
        changed.settings_revision = state.revision;
        host::change_self(this->control->members, changed);
    }
    if (!state.tree || state.revision == this->published_revision)
        return;
    settings_pointer snapshot = make_snapshot(state);
    if (!this->control->settings->update(snapshot))
        return;
    this->published_revision = state.revision;
    for (const auto& [id, upstream] : snapshot->tree->upstreams)
        this->control->upstreams->set_leaving(id, upstream.is_leaving);
    while (!this->control->decision->try_report(decision::topology_changed{snapshot->topology}))
        std::this_thread::yield();
    log_info("settings_in_force", {{"revision", std::to_string(state.revision)}});
}

void settings_controller::write_snapshots(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(snapshot_check_interval, yield);
        const settings::settings_state& state = this->control->replayed_settings;
        const auto owner = host::rendezvous_owner(this->control->working_hosts(), snapshot_owner_key);
        const bool is_writer = owner && this->control->is_self(*owner);
        if (!is_writer || state.phase != settings::replay_phase::evaluating || state.revision == 0)
            continue;
        const base::time_point now = this->control->clock->now();
        const bool is_due = this->snapshot_offset == 0 ||
                            state.next_offset >= this->snapshot_offset + snapshot_record_interval ||
                            now - this->snapshot_at >= max_snapshot_age;
        if (!is_due)
            continue;
        const settings::log_offset offset = state.next_offset;
        const std::string payload = settings::encode_record(settings::snapshot_of(state));
        // NOTE: If the response to a successful append is lost, the snapshot is appended again, which is
        // harmless.
        if (this->control->log->append(snapshots_stream, payload, append_timeout, yield)) {
            this->snapshot_offset = offset;
            this->snapshot_at = now;
            ++this->control->process_metrics->counters.log_appends;
        }
    }
}

void settings_controller::sync_with_peers_forever(wire::yield_context yield) {
    while (!this->control->is_stopping) {
        this->control->pause(peer_check_interval, yield);
        const bool is_log_reachable =
            is_recent(this->control->last_log_response_at, this->control->clock->now());
        const bool has_settings = this->control->settings->current() != nullptr;
        if (!is_log_reachable || !has_settings)
            this->sync_with_peers(yield);
    }
}

void settings_controller::sync_with_peers(wire::yield_context yield) {
    for (const host::member& peer : host::indirect_probers(this->control->members, {}, 2)) {
        const bool is_ahead =
            peer.settings_offset == 0 || // Known from the host list only; its offset is unknown.
            peer.settings_offset > this->control->replayed_settings.next_offset ||
            this->control->replayed_settings.phase == settings::replay_phase::needs_base_state;
        if (!is_ahead)
            continue;
        const auto response =
            this->control->peers->call(peer.peers_address, "settings", "{}", peer_call_timeout, yield);
        if (!response)
            continue;
        const auto parsed = base::parse_json(*response);
        if (parsed.is_object() && parsed.contains("state") && parsed["state"].is_string())
            this->adopt(parsed["state"].get<std::string>());
    }
}

bool settings_controller::adopt(const std::string& encoded_state) {
    if (encoded_state.empty())
        return false;
    auto state = settings::decode_state(encoded_state);
    if (!state || !settings::adopt_state(this->control->replayed_settings, std::move(*state)))
        return false;
    log_info("settings_from_peer", {{"revision", std::to_string(this->control->replayed_settings.revision)}});
    this->publish_settings();
    return true;
}

std::string settings_controller::encoded_state() const {
    const settings::settings_state& state = this->control->replayed_settings;
    if (state.phase != settings::replay_phase::evaluating || state.revision == 0)
        return {};
    return settings::encode_state(state);
}

} // namespace postpaddle::service
