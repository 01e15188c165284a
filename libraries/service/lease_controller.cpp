// SPDX-License-Identifier: BSD-2-Clause
#include <service/lease_controller.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;

constexpr const char* leases_stream = "leases";
constexpr auto append_timeout = 2'000ms;

} // namespace

std::string lease_controller::holder_name() const {
    const host::member& self = this->control->members.self;
    return self.name.value + "#" + std::to_string(self.incarnation);
}

bool lease_controller::catch_up(wire::yield_context yield) {
    while (true) {
        const auto page = this->control->log->read(leases_stream, this->table.next_offset, 0ms, yield);
        if (!page)
            return false;
        this->table.next_offset = std::max(this->table.next_offset, page->earliest);
        for (const wire::log_record& record : page->records)
            host::apply_lease_bid(this->table, record.offset, record.payload, this->control->clock->now());
        if (this->table.next_offset >= page->next)
            return true;
    }
}

std::optional<held_lease> lease_controller::acquire(const std::string& resource, base::duration length,
                                                    wire::yield_context yield) {
    if (!this->catch_up(yield))
        return std::nullopt;
    host::lease_bid bid;
    bid.resource = resource;
    bid.holder = this->holder_name();
    bid.duration_milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    const auto current = this->table.entries.find(resource);
    held_lease lease;
    if (current != this->table.entries.end()) {
        const bool is_own = current->second.holder == bid.holder;
        if (!is_own && !host::is_expired(current->second, this->margins, this->control->clock->now()))
            return std::nullopt;
        bid.previous_token = current->second.token;
        lease.had_holder = !is_own;
    }
    // Count the lease's duration from before the append, so that this host never considers it valid for
    // longer than the hosts that read its record.
    lease.bid_at = this->control->clock->now();
    ++this->control->process_metrics->counters.log_appends;
    (void)this->control->log->append(leases_stream, host::encode_bid(bid), append_timeout, yield);
    // The append may have succeeded even if its response was lost, so read the log to find out which bid won.
    if (!this->catch_up(yield))
        return std::nullopt;
    const auto winner = this->table.entries.find(resource);
    if (winner == this->table.entries.end() || winner->second.holder != bid.holder ||
        winner->second.token == bid.previous_token)
        return std::nullopt;
    lease.token = winner->second.token;
    return lease;
}

bool lease_controller::may_act(const std::string& resource, const held_lease& lease) const {
    const auto found = this->table.entries.find(resource);
    return found != this->table.entries.end() && found->second.token == lease.token &&
           host::may_issue_orders(found->second, lease.bid_at, this->margins, this->control->clock->now());
}

} // namespace postpaddle::service
