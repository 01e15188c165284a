// SPDX-License-Identifier: BSD-2-Clause
#include <harness/cluster.h>

#include <harness/blocking_client.h>

#include <yaml-cpp/yaml.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace postpaddle::stand_in {

namespace {

using nlohmann::json;

constexpr auto poll_interval = std::chrono::milliseconds(20);
constexpr int ok_status = 200;

std::string loopback_address(int port) { return "127.0.0.1:" + std::to_string(port); }

void sleep_before_poll() { std::this_thread::sleep_for(poll_interval); }

} // namespace

cluster::cluster(cluster_options cluster_options) : options(std::move(cluster_options)) {
    std::filesystem::create_directories(this->options.folder);
    if (this->options.has_proxies)
        this->proxy = this->start_process("stand_in_fault_proxy", "proxy", {}, this->proxy_address);
    this->log =
        this->start_process("stand_in_log_service", "log", this->options.log_flags, this->log_address);
    this->proxied_log_address = this->add_proxy_link("log", this->log_address);
    this->host_list = this->start_process("stand_in_host_list", "host-list", {}, this->host_list_address);
    for (const upstream_plan& plan : this->options.upstreams) {
        running_upstream upstream;
        std::vector<std::string> flags = plan.flags;
        flags.push_back("--name=" + plan.name);
        upstream.process = this->start_process(plan.is_plain ? "stand_in_plain_service" : "stand_in_engine",
                                               plan.name, flags, upstream.address);
        upstream.proxied_address = this->add_proxy_link(plan.name, upstream.address);
        this->upstreams[plan.name] = std::move(upstream);
    }
    for (int number = 0; number < this->options.hosts; ++number)
        this->start_host(number);
}

std::unique_ptr<child_process> cluster::start_process(const std::string& program, const std::string& name,
                                                      const std::vector<std::string>& flags,
                                                      std::string& address) const {
    auto process = std::make_unique<child_process>(this->options.programs + "/" + program, flags,
                                                   this->options.folder + "/" + name + ".log");
    const json line = process->read_json();
    if (!line.is_object())
        throw std::runtime_error(program + " did not start");
    address = loopback_address(line.at("port").get<int>());
    return process;
}

std::string cluster::add_proxy_link(const std::string& name, const std::string& address) const {
    if (!this->options.has_proxies)
        return address;
    return loopback_address(
        post_json(this->proxy_address, "/links", {{"link", name}, {"target", address}}).at("port"));
}

void cluster::start_host(int number) {
    const auto index = static_cast<std::size_t>(number);
    if (this->hosts.size() <= index)
        this->hosts.resize(index + 1);
    running_host& host = this->hosts[index];
    host.name = "host-" + std::to_string(number + 1);
    host.settings_path = this->options.folder + "/" + host.name + ".yaml";
    std::ofstream(host.settings_path)
        << "name: " << host.name
        << "\navailability_zone: " << this->options.zones[index % this->options.zones.size()]
        << "\noperators_token: " << operators_token
        << "\npeers_token: peers-token\nlog_address: " << this->proxied_log_address
        << "\nhost_list_address: " << this->host_list_address << "\npolicy: " << this->options.policy << "\n"
        << this->options.host_settings;
    host.process = std::make_unique<child_process>(
        this->options.programs + "/postpaddled", std::vector<std::string>{"--settings=" + host.settings_path},
        this->options.folder + "/" + host.name + ".log");
    const json line = host.process->read_json();
    if (!line.is_object())
        throw std::runtime_error(host.name + " did not start; see " + this->options.folder);
    host.callers_address = line.at("callers");
    host.operators_address = line.at("operators");
}

std::string cluster::fill_in_addresses(const std::string& document) const {
    YAML::Node root = YAML::Load(document);
    for (const auto& [name, upstream] : this->upstreams)
        if (root["upstreams"][name])
            root["upstreams"][name]["address"] = upstream.proxied_address;
    return YAML::Dump(root);
}

bool cluster::publish(const std::string& document) {
    const std::string path = this->options.folder + "/published.yaml";
    std::ofstream(path) << this->fill_in_addresses(document);
    child_process publisher(this->options.programs + "/postpaddle",
                            {"publish", path, "--log=" + this->log_address,
                             "--host=" + this->hosts[0].operators_address,
                             std::string("--token=") + operators_token},
                            this->options.folder + "/publish.log");
    const std::string output = publisher.read_to_end();
    const int code = publisher.wait();
    if (code != 0)
        std::cerr << "publish ended with " << code << ": " << output << '\n';
    return code == 0;
}

void cluster::wait_until_ready() {
    for (const running_host& host : this->hosts) {
        if (!host.process)
            continue;
        while (true) {
            const auto response = http_exchange(host.operators_address, {"GET", "/readyz", {}, ""});
            if (response && response->status == ok_status)
                break;
            sleep_before_poll();
        }
    }
}

void cluster::set_upstream_faults(const std::string& upstream, const json& faults) {
    post_json(this->upstreams.at(upstream).address, "/control", faults);
}

json cluster::counters(const std::string& upstream) const {
    return get_json(this->upstreams.at(upstream).address, "/counters");
}

json cluster::state(const running_host& host) const {
    return get_json(host.operators_address, "/state",
                    {{"Authorization", std::string("Bearer ") + operators_token}});
}

void cluster::set_link_faults(const std::string& link, const json& faults) {
    json body = faults;
    body["link"] = link;
    post_json(this->proxy_address, "/faults", body);
}

void cluster::kill_upstream(const std::string& upstream) { this->upstreams.at(upstream).process.reset(); }

int cluster::held_request_count() const {
    int total = 0;
    for (const upstream_plan& plan : this->options.upstreams) {
        if (plan.is_plain || !this->upstreams.at(plan.name).process)
            continue;
        const json counters = this->counters(plan.name);
        total += counters.is_object() ? static_cast<int>(counters.at("held").size()) : 0;
    }
    return total;
}

} // namespace postpaddle::stand_in
