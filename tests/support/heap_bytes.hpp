// The memory that the process has allocated.
#ifndef KINGCUPSLIP_TESTS_HEAP_BYTES_HPP
#define KINGCUPSLIP_TESTS_HEAP_BYTES_HPP

#include <cstddef>
#include <malloc.h>

namespace kingcupslip {

inline std::size_t heap_bytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace kingcupslip

#endif
