// SPDX-License-Identifier: BSD-2-Clause
// The limit on the memory of a host's process, from which the bound on unsent data is derived.
#include <gateway/unsent_data_bound.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

using namespace postpaddle;

namespace {

/// A file with that content, which is removed at the end.
class temporary_file {
public:
    temporary_file(const std::string& name, const std::string& content)
        : path(std::filesystem::temp_directory_path() / (name + std::to_string(getpid()))) {
        std::ofstream(this->path) << content;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file(temporary_file&&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    temporary_file& operator=(temporary_file&&) = delete;
    ~temporary_file() { std::filesystem::remove(this->path); }

    std::filesystem::path path;
};

std::optional<std::uint64_t> limit_with(const std::string& content) {
    const temporary_file file("memory.max.", content);
    return gateway::process_memory_limit(file.path);
}

} // namespace

// Guards against a bound beyond the memory of a container, whose kernel would end the process.
TEST_CASE("the memory limit of the control group applies if it is the smallest") {
    const auto without = gateway::process_memory_limit("/nonexistent");
    constexpr std::uint64_t container = 1'048'576;
    REQUIRE(without.value_or(container + 1) > container);
    CHECK(limit_with("1048576\n") == container);
    CHECK(limit_with("max\n") == without);
    CHECK(limit_with("") == without);
    CHECK(limit_with("18446744073709551615\n") == without.value_or(UINT64_MAX));
}

// Guards against a stack that can't be mapped for a connection, although the limit on connections allows it.
TEST_CASE("the stacks of all connections leave half of the memory that may be mapped") {
    constexpr std::uint64_t stack_bytes = 256UL * 1024;
    CHECK(gateway::connections_within(1'500, std::nullopt) == 1'500);
    CHECK(gateway::connections_within(1'500, 2UL * 200 * stack_bytes) == 200);
    CHECK(gateway::connections_within(100, 2UL * 200 * stack_bytes) == 100);
}
