// SPDX-License-Identifier: BSD-2-Clause
#include <wire/carried_requests.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::wire {

void carried_requests::add(std::string_view id) {
    if (!this->contains(id))
        this->hashes.push_back(base::hash64(id));
}

bool carried_requests::contains(std::string_view id) const {
    return std::ranges::find(this->hashes, base::hash64(id)) != this->hashes.end();
}

} // namespace postpaddle::wire
