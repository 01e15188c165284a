// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/membership.h>
#include <service/claim_client.h>
#include <service/decision_controller.h>
#include <service/limit_controller.h>
#include <service/metrics.h>
#include <service/quarantine_registry.h>
#include <service/settings_store.h>
#include <service/upstream_registry.h>
#include <settings/process_settings.h>
#include <wire/asio.h>
#include <wire/log_client.h>
#include <wire/peer_client.h>

#include <optional>
#include <string>
#include <vector>

namespace postpaddle::service {

/// State and services shared by the controllers of the control thread. Members that workers don't share are
/// accessed on the control thread only.
struct control_context {
    const base::clock* clock = nullptr;
    wire::asio::io_context* context = nullptr;
    const settings::process_settings* process = nullptr;
    settings_store* settings = nullptr;
    decision_controller* decision = nullptr;
    limit_controller* limits = nullptr;
    quarantine_registry* quarantine = nullptr;
    upstream_registry* upstreams = nullptr;
    claim_client* claims = nullptr;
    metrics* process_metrics = nullptr;
    wire::log_client* log = nullptr;
    wire::peer_client* peers = nullptr;
    host::membership_state members;
    settings::settings_state replayed_settings;
    std::optional<base::time_point> last_log_response_at; ///< Last time the log responded to this host.
    std::optional<base::time_point>
        last_peer_log_report_at; ///< Last time a peer reported that the log responds to it.
    std::optional<base::time_point> last_peer_response_at; ///< Last time any peer responded to this host.
    bool is_stopping = false;

    /// Suspends the calling coroutine for `length`.
    void pause(base::duration length, wire::yield_context yield) const {
        wire::error_code ignored;
        wire::boot_timer timer(*this->context, length);
        timer.async_wait(yield[ignored]);
    }
    /// Wall-clock time in milliseconds since the Unix epoch.
    [[nodiscard]] std::int64_t wall_milliseconds() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   this->clock->wall_now().time_since_epoch())
            .count();
    }
    [[nodiscard]] std::vector<host::member> working_hosts() const {
        return host::working_members(this->members);
    }
    [[nodiscard]] bool is_self(const host::member& member) const {
        return member.name == this->members.self.name;
    }
    /// Reports an event to the decision thread. Dropped when its ring is full, as a newer report follows.
    void report_to_decision(decision::event event) const {
        (void)this->decision->try_report(std::move(event));
    }
};

} // namespace postpaddle::service
