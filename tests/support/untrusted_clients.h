// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <support/crowd.h>

#include <string>
#include <vector>

namespace postpaddle::test {

struct named_crowd {
    std::string name;
    crowd_plan plan;
};

/// Clients that keep no limit, of each kind of docs/design/0032. All keep their connections open.
[[nodiscard]] std::vector<named_crowd> make_untrusted_clients();

} // namespace postpaddle::test
