// SPDX-License-Identifier: BSD-2-Clause
#include <support/late_arrivals.h>

#include <support/test_cluster.h>

#include <thread>

namespace postpaddle::test {

using namespace std::chrono_literals;

namespace {

int arrivals_at(gateway_cluster& cluster, const std::vector<std::string>& servers) {
    int arrivals = 0;
    for (const std::string& id : servers)
        arrivals += cluster.arrivals(id);
    return arrivals;
}

} // namespace

void call_hosts(const gateway_cluster& cluster, const host_range& hosts, std::chrono::milliseconds length) {
    const auto end = std::chrono::steady_clock::now() + length;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number)
        for (int host = hosts.first; host <= hosts.last; ++host) {
            const std::string id = std::to_string(host) + "-" + std::to_string(number);
            for (const std::string path : {"/again/", "/resume/"})
                (void)stand_in::http_exchange(cluster.callers_address(host), routed_request(path, path + id),
                                              1s);
            std::this_thread::sleep_for(10ms);
        }
}

int late_arrivals(gateway_cluster& cluster, const std::vector<std::string>& servers, const host_range& hosts,
                  std::chrono::milliseconds bound, std::chrono::milliseconds length) {
    call_hosts(cluster, hosts, bound);
    const int before = arrivals_at(cluster, servers);
    call_hosts(cluster, hosts, length);
    return arrivals_at(cluster, servers) - before;
}

int count_served(const gateway_cluster& cluster, const host_range& hosts) {
    constexpr int ok_status = 200;
    int served = 0;
    for (int host = hosts.first; host <= hosts.last; ++host)
        for (const auto* path : {"/again/", "/resume/"})
            served += status_at(cluster, host, path) == ok_status ? 1 : 0;
    return served;
}

bool await_listing(const gateway_cluster& cluster, int host, const std::string& server, bool is_listed) {
    return eventually([&] {
        const auto listing = cluster.state_of(host).at("instances").at(server).at("listing");
        return (listing == "listed") == is_listed;
    });
}

std::string describe_listing(const gateway_cluster& cluster, const std::string& server,
                             const host_range& hosts) {
    std::string text;
    for (int host = hosts.first; host <= hosts.last; ++host) {
        const auto state = cluster.state_of(host);
        const auto& instances = state.at("instances");
        const std::string listing =
            instances.contains(server) ? instances.at(server).at("listing").dump() : "unknown";
        text +=
            "host " + std::to_string(host) + ": " + listing + " " + state.at("registry_doubt").dump() + "\n";
    }
    return text;
}

} // namespace postpaddle::test
