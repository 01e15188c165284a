// SPDX-License-Identifier: BSD-2-Clause
#include <support/crowd.h>

#include <arpa/inet.h>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <algorithm>

namespace postpaddle::test {

namespace {

constexpr std::size_t max_piece_bytes = 32UL * 1024;
constexpr auto poll_interval = std::chrono::milliseconds(2);

sockaddr_in make_endpoint(const std::string& ip, int port) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
    (void)inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
    return endpoint;
}

/// Lets this process have as many descriptors as the system allows it.
void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    (void)setrlimit(RLIMIT_NOFILE, &limit);
}

/// A loopback address that no host of the tests has.
std::string client_ip(int number) {
    constexpr int addresses_a_network = 200;
    return "127.251." + std::to_string(number / addresses_a_network) + "." +
           std::to_string(1 + number % addresses_a_network);
}

int connect_from(const std::string& ip, const std::string& address) {
    const auto colon = address.rfind(':');
    const sockaddr_in own = make_endpoint(ip, 0);
    const sockaddr_in target = make_endpoint(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface's own cast.
    const bool is_connected =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0 &&
        connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    if (is_connected)
        return descriptor;
    (void)close(descriptor);
    return -1;
}

} // namespace

crowd::crowd(const std::string& address, const crowd_plan& crowd_plan)
    : plan(crowd_plan), total_bytes(plan.begin.size() + plan.repeated_bytes + plan.end.size()) {
    raise_descriptor_limit();
    for (int number = 0; number < this->plan.clients; ++number) {
        const std::string ip = client_ip(this->plan.is_each_from_own_address ? number : 0);
        const int descriptor = connect_from(ip, address);
        const linger reset{.l_onoff = 1, .l_linger = 0};
        if (this->plan.does_reset)
            (void)setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        this->clients.push_back({.descriptor = descriptor});
    }
}

crowd::~crowd() {
    for (const client& each : this->clients)
        if (each.descriptor >= 0)
            (void)close(each.descriptor);
}

std::string crowd::next_bytes(std::size_t sent) const {
    if (sent < this->plan.begin.size())
        return this->plan.begin.substr(sent);
    sent -= this->plan.begin.size();
    if (sent >= this->plan.repeated_bytes)
        return this->plan.end.substr(sent - this->plan.repeated_bytes);
    std::string bytes = this->plan.repeated.substr(sent % this->plan.repeated.size());
    while (bytes.size() < max_piece_bytes)
        bytes += this->plan.repeated;
    bytes.resize(std::min(bytes.size(), this->plan.repeated_bytes - sent));
    return bytes;
}

bool crowd::advance(client& each) const {
    if (each.descriptor < 0)
        return false;
    if (each.sent < this->total_bytes) {
        const std::string bytes = this->next_bytes(each.sent);
        const ssize_t count =
            ::send(each.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            each.sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
            (void)close(each.descriptor);
            each.descriptor = -1;
            return false;
        }
        return true;
    }
    int unacknowledged = 0;
    return ioctl(each.descriptor, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

void crowd::send_all(std::chrono::milliseconds at_most) {
    const auto end = std::chrono::steady_clock::now() + at_most;
    bool has_more = true;
    while (has_more && std::chrono::steady_clock::now() < end) {
        has_more = false;
        for (client& each : this->clients)
            has_more = this->advance(each) || has_more;
        std::this_thread::sleep_for(poll_interval);
    }
}

int crowd::open() const {
    return static_cast<int>(std::ranges::count_if(this->clients, [](const client& each) {
        char byte = 0;
        if (each.descriptor < 0)
            return false;
        const ssize_t count = recv(each.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }));
}

} // namespace postpaddle::test
