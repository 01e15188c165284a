// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_watch.h>

namespace postpaddle::gateway {

store_watch::store_watch(gateway_state& state, ports::control_feed& feed, callbacks hooks)
    : state(&state), feed(&feed), hooks(std::move(hooks)), settings(*state.context, "settings"),
      registry(*state.context, "registry") {}

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

void store_watch::tell_lost(const topic& read, const ports::feed_error& error) {
    this->state->log->write_always("dependency_lost", {{"dependency", std::string("store ") + read.name},
                                                       {"failure", ports::to_text(error.failure)},
                                                       {"detail", error.detail}});
}

void store_watch::run_read(topic& read, read_function function, const host::store_read& order,
                           wire::yield_context yield) {
    const base::time_point began = this->state->clock->now();
    const auto error = (this->*function)(order, yield);
    if (!error) {
        this->state->figures->count("store_reads_total");
        if (host::did_answer(read.reader, order, began))
            this->state->log->write_always("dependency_regained",
                                           {{"dependency", std::string("store ") + read.name}});
    } else {
        this->state->figures->count("store_failures_total");
        if (error->failure == ports::feed_failure::history_lost)
            read.has_offset = false;
        const auto failure = error->failure == ports::feed_failure::unreachable
                                 ? host::read_failure::no_answer
                                 : host::read_failure::refusal;
        if (host::did_fail(read.reader, order, failure, began))
            this->tell_lost(read, *error);
        if (read.reader.is_lost)
            this->state->registry_trouble = this->state->clock->now();
    }
    read.wake.cancel();
}

void store_watch::keep_reading(topic& read, read_function function, wire::yield_context yield) {
    if (const auto order = host::next_read(read.reader, this->state->clock->now()))
        wire::spawn_coroutine(*this->state->context,
                              [this, &read, function, order = *order](wire::yield_context own) {
                                  this->run_read(read, function, order, own);
                              });
    read.wake.expires_after(host::probe_interval);
    wire::error_code ignored;
    read.wake.async_wait(yield[ignored]);
}

std::optional<ports::feed_error> store_watch::read_settings(const host::store_read& order,
                                                            wire::yield_context yield) {
    topic& own = this->settings;
    auto page = own.has_offset ? this->feed->settings_after(own.next_offset, order.wait, order.limit, yield)
                               : this->feed->newest_settings(order.limit, yield);
    if (!page)
        return page.error();
    own.next_offset = std::max(own.next_offset, page->next);
    own.has_offset = true;
    if (page->newest && put_in_force(*this->state, std::move(*page->newest), "store"))
        this->hooks.on_new_settings();
    return std::nullopt;
}

void store_watch::watch_settings(wire::yield_context yield) {
    while (true) {
        this->settings.reader.bound = this->state->process->settings_bound;
        this->keep_reading(this->settings, &store_watch::read_settings, yield);
        if (this->settings.reader.is_lost)
            this->hooks.on_settings_lost();
    }
}

std::optional<ports::feed_error> store_watch::read_registry(const host::store_read& order,
                                                            wire::yield_context yield) {
    topic& own = this->registry;
    const bool is_whole = !own.has_offset;
    auto page = !is_whole ? this->feed->registry_after(own.next_offset, order.wait, order.limit, yield)
                          : this->feed->newest_registry(order.limit, yield);
    if (!page)
        return page.error();
    if (is_whole)
        take_registry_snapshot(*this->state, *page);
    else
        take_registry(*this->state, page->changes, "store");
    own.next_offset = std::max(own.next_offset, page->next);
    own.has_offset = true;
    this->state->registry_next = own.next_offset;
    // Records that come together are read together.
    static constexpr int pause_part = 5;
    const std::chrono::milliseconds least = this->state->process->leaving_bound / pause_part;
    if (order.wait > std::chrono::milliseconds::zero())
        this->pause(std::max(least, this->state->process->registry_interval), yield);
    settle_registry(*this->state);
    return std::nullopt;
}

void store_watch::watch_registry(wire::yield_context yield) {
    while (true) {
        this->registry.reader.bound = this->state->process->leaving_bound;
        this->keep_reading(this->registry, &store_watch::read_registry, yield);
        if (this->registry.reader.is_lost)
            this->hooks.on_registry_lost(yield);
        bound_idle_connections(*this->state);
    }
}

} // namespace postpaddle::gateway
