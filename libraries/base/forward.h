// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::base {

class clock;
class system_clock_source;
template <class Tag> struct identifier;
template <class T> class bounded_ring;

} // namespace postpaddle::base
