// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_watch.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// How long one read waits for a record. Short enough that a connection that went silent behind a cut is
/// replaced within the bound on new settings once the cut has healed.
constexpr std::chrono::milliseconds read_wait = 3'800ms;
/// Pause after a failed read, at random between half and all of it, so that hosts don't return in step.
constexpr base::duration failure_pause = 600ms;

constexpr const char* settings_name = "settings";
constexpr const char* registry_name = "registry";

} // namespace

store_watch::store_watch(gateway_state& state, ports::control_feed& feed, callbacks hooks)
    : state(&state), feed(&feed), hooks(std::move(hooks)) {}

void store_watch::start() {
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->watch_settings(yield); });
    wire::spawn_coroutine(*this->state->context,
                          [this](wire::yield_context yield) { this->watch_registry(yield); });
}

void store_watch::pause(base::duration length, wire::yield_context yield) {
    wire::asio::steady_timer timer(*this->state->context, length);
    wire::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void store_watch::did_fail(const char* what, const ports::feed_error& error) {
    this->state->figures->count("store_failures_total");
    if (error.failure == ports::feed_failure::unreachable)
        host::did_time_out(this->patience[what]);
    this->state->registry_trouble = this->state->clock->now();
    if (std::exchange(this->is_lost[what], true))
        return;
    this->state->log->write_always("dependency_lost", {{"dependency", std::string("store ") + what},
                                                       {"failure", ports::to_text(error.failure)},
                                                       {"detail", error.detail}});
}

void store_watch::did_answer(const char* what) {
    this->state->figures->count("store_reads_total");
    host::did_answer(this->patience[what]);
    if (std::exchange(this->is_lost[what], false))
        this->state->log->write_always("dependency_regained", {{"dependency", std::string("store ") + what}});
}

bool store_watch::read_settings(wire::yield_context yield) {
    const auto limit = this->patience[settings_name].limit;
    auto page = this->has_settings_offset
                    ? this->feed->settings_after(this->settings_next, read_wait, limit, yield)
                    : this->feed->newest_settings(limit, yield);
    if (!page) {
        if (page.error().failure == ports::feed_failure::history_lost)
            this->has_settings_offset = false;
        this->did_fail(settings_name, page.error());
        return false;
    }
    this->did_answer(settings_name);
    this->settings_next = page->next;
    this->has_settings_offset = true;
    if (page->newest && put_in_force(*this->state, std::move(*page->newest), "store"))
        this->hooks.on_new_settings();
    return true;
}

void store_watch::watch_settings(wire::yield_context yield) {
    std::uniform_real_distribution<double> part(0.5, 1);
    while (true) {
        if (!this->read_settings(yield))
            this->pause(base::from_seconds(base::to_seconds(failure_pause) * part(this->state->random)),
                        yield);
    }
}

bool store_watch::read_registry(wire::yield_context yield) {
    const auto limit = this->patience[registry_name].limit;
    const auto registry_wait = std::min(read_wait, host::longest_wait(this->state->process->leaving_bound));
    auto page = this->has_registry_offset
                    ? this->feed->registry_after(this->state->registry_next, registry_wait, limit, yield)
                    : this->feed->newest_registry(limit, yield);
    if (!page) {
        if (page.error().failure == ports::feed_failure::history_lost)
            this->has_registry_offset = false;
        this->did_fail(registry_name, page.error());
        return false;
    }
    this->did_answer(registry_name);
    if (!this->has_registry_offset) {
        take_registry_snapshot(*this->state, *page);
        this->has_registry_offset = true;
        return true;
    }
    take_registry(*this->state, page->changes, "store");
    this->state->registry_next = page->next;
    return true;
}

void store_watch::watch_registry(wire::yield_context yield) {
    while (true) {
        const bool did_read = this->read_registry(yield);
        if (did_read)
            settle_registry(*this->state);
        else
            this->hooks.on_registry_lost(yield);
        bound_idle_connections(*this->state);
        // Records that come together are read together.
        this->pause(did_read ? this->state->process->registry_interval : failure_pause, yield);
    }
}

} // namespace postpaddle::gateway
