// SPDX-License-Identifier: BSD-2-Clause
// The stand-in for the platform's store has to listen on the same port of several addresses.

#include <harness/blocking_client.h>
#include <harness/child_process.h>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

using namespace postpaddle;

namespace {

/// Sockets that hold ports which the system chose at one address.
class held_ports {
public:
    held_ports(const std::string& address, int count) {
        for (int held = 0; held < count; ++held) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in endpoint{};
            endpoint.sin_family = AF_INET;
            (void)inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
            // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface's own cast.
            REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) == 0);
            this->descriptors.push_back(descriptor);
        }
    }
    ~held_ports() {
        for (const int descriptor : this->descriptors)
            (void)close(descriptor);
    }
    held_ports(const held_ports&) = delete;
    held_ports(held_ports&&) = delete;
    held_ports& operator=(const held_ports&) = delete;
    held_ports& operator=(held_ports&&) = delete;

private:
    std::vector<int> descriptors;
};

} // namespace

// Guards against a host that never becomes ready, as the store ended when the port which it had chosen at one
// address was held at another, for example by a closed connection of a host that ran before.
TEST_CASE("the stand-in store finds a port that is free at all of its addresses") {
    const std::string network = "127.252." + std::to_string(1 + getpid() % 250) + ".";
    const held_ports held(network + "2", 800);
    int answering = 0;
    constexpr int starts = 100;
    for (int start = 0; start < starts; ++start) {
        stand_in::child_process store(std::string(POSTPADDLE_PROGRAMS) + "/stand_in_platform_store",
                                      {"--network=" + network, "--hosts=4"}, "/dev/null");
        const nlohmann::json started = store.read_json();
        if (!started.is_object())
            continue;
        const std::string last = network + "4:" + std::to_string(started.at("port").get<int>());
        answering += stand_in::post_json(last, "/control", nlohmann::json::object()).is_object() ? 1 : 0;
    }
    CHECK(answering == starts);
}
