// SPDX-License-Identifier: BSD-2-Clause
#include <service/request_context.h>

namespace postpaddle::service {

namespace {

constexpr auto ring_retry_interval = std::chrono::milliseconds(1);

} // namespace

void report(request_context& context, const decision::event& event, wire::yield_context yield) {
    while (!context.services->decision->try_report(event)) {
        ++context.services->process_metrics->counters.ring_full;
        wire::error_code ignored;
        wire::boot_timer pause(*context.services->context, ring_retry_interval);
        pause.async_wait(yield[ignored]);
    }
}

} // namespace postpaddle::service
