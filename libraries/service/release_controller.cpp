// SPDX-License-Identifier: BSD-2-Clause
#include <service/release_controller.h>

#include <service/log.h>

#include <host/owner.h>
#include <wire/engine_adapter.h>
#include <wire/http_client.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr auto call_timeout = 1'000ms;
constexpr auto initial_backoff = 50ms;
constexpr auto max_backoff = 1'000ms;
/// An engine that was unreachable for this long is assumed to have expired the hold by itself.
constexpr auto abandon_after = 10'000ms;
constexpr auto report_retry_interval = 2ms;
constexpr int ok_status = 200;

void sleep(wire::asio::io_context& context, std::chrono::milliseconds length, wire::yield_context yield) {
    wire::error_code ignored;
    wire::boot_timer timer(context, length);
    timer.async_wait(yield[ignored]);
}

} // namespace

release_controller::release_controller(wire::asio::io_context& context, const settings_store& settings,
                                       decision_controller& decision, metrics& process_metrics)
    : context(&context), settings(&settings), decision(&decision), process_metrics(&process_metrics),
      pool(context, wire::response_bounds{}) {}

void release_controller::release(const decision::release_hold& order) {
    ++this->active_releases;
    wire::spawn_coroutine(*this->context, [this, order](wire::yield_context yield) {
        this->run(order, yield);
        --this->active_releases;
    });
}

void release_controller::run(const decision::release_hold& order, wire::yield_context yield) {
    const auto abandon_at = base::boot_clock::now() + abandon_after;
    std::chrono::milliseconds backoff = initial_backoff;
    while (!this->try_release(order, yield)) {
        if (base::boot_clock::now() >= abandon_at) {
            ++this->process_metrics->counters.abandoned_releases;
            log_warning("release_given_up",
                        {{"upstream", order.upstream.value}, {"request", order.id.value}});
            break;
        }
        sleep(*this->context, backoff, yield);
        backoff = std::min<std::chrono::milliseconds>(backoff * 2, max_backoff);
    }
    this->report(order, yield);
}

bool release_controller::try_release(const decision::release_hold& order, wire::yield_context yield) {
    const settings_pointer active_settings = this->settings->current();
    const auto found = active_settings->tree->upstreams.find(order.upstream);
    if (found == active_settings->tree->upstreams.end())
        return true;
    ++this->process_metrics->counters.releases_sent;
    const auto request = wire::make_abort_request(host::make_attempt_id(order.id, order.attempt));
    const auto response = wire::fetch(this->pool, found->second.address, request, call_timeout, yield);
    return response && response->status == ok_status;
}

void release_controller::report(const decision::release_hold& order, wire::yield_context yield) {
    while (!this->decision->try_report(decision::hold_released{order.id, order.attempt, order.upstream}))
        sleep(*this->context, report_retry_interval, yield);
}

} // namespace postpaddle::service
