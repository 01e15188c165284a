// SPDX-License-Identifier: BSD-2-Clause
#include <wire/connection_pool.h>

namespace postpaddle::wire {

namespace {

using base::boot_clock;

/// Assumed to be shorter than any server's keep-alive timeout.
constexpr auto recent_use_window = std::chrono::milliseconds(800);
constexpr auto eviction_interval = std::chrono::seconds(1);
/// Subtracted from the server's keep-alive timeout, so that it doesn't close a connection that is about to be
/// reused.
constexpr auto keep_alive_margin = std::chrono::milliseconds(400);

} // namespace

connection_pool::connection_pool(asio::io_context& context, const response_bounds& bounds)
    : context(&context), bounds(bounds) {}

connection_pool::acquired_connection connection_pool::acquire(const std::string& address, connection_use use,
                                                              std::string_view request_id) {
    auto& idle = this->idle_by_address[address];
    for (auto entry = idle.end(); entry != idle.begin();) {
        --entry;
        if (!can_use(*entry, use))
            break;
        if (!request_id.empty() && entry->connection->carried().contains(request_id))
            continue;
        acquired_connection reused{std::move(entry->connection), true};
        entry = idle.erase(entry);
        if (!reused.connection->is_stale())
            return reused;
    }
    auto connection = std::make_shared<upstream_connection>(*this->context, this->bounds);
    if (this->local_address)
        connection->set_local_address(*this->local_address);
    return {std::move(connection), false};
}

void connection_pool::release(const std::string& address, std::shared_ptr<upstream_connection> connection) {
    auto& idle = this->idle_by_address[address];
    std::erase_if(idle, is_expired);
    if (connection->is_reusable() && idle.size() < this->max_idle_connections)
        idle.push_back({std::move(connection), boot_clock::now()});
    else
        connection->cancel();
    this->evict_expired();
}

void connection_pool::evict_expired() {
    const auto now = boot_clock::now();
    if (now - this->last_eviction < eviction_interval)
        return;
    this->last_eviction = now;
    for (auto& [address, idle] : this->idle_by_address)
        std::erase_if(idle, is_expired);
    std::erase_if(this->idle_by_address, [](const auto& item) { return item.second.empty(); });
}

bool connection_pool::is_expired(const idle_connection& entry) {
    return !can_use(entry, connection_use::may_reuse);
}

bool connection_pool::can_use(const idle_connection& entry, connection_use use) {
    const auto idle_time = boot_clock::now() - entry.idle_since;
    switch (use) {
    case connection_use::only_new:
        return false;
    case connection_use::new_or_recent:
        return idle_time < recent_use_window;
    case connection_use::may_reuse:
        return idle_time < entry.connection->keep_alive_timeout() - keep_alive_margin;
    }
    return false;
}

std::size_t connection_pool::idle_connections() const {
    std::size_t total = 0;
    for (const auto& [address, idle] : this->idle_by_address)
        total += idle.size();
    return total;
}

} // namespace postpaddle::wire
