// Body type for messages that are read with Boost.Beast.
#ifndef KINGCUPSLIP_NET_BOUNDED_BODY_HPP
#define KINGCUPSLIP_NET_BOUNDED_BODY_HPP

#include "kingcupslip/core/outcome.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>

namespace kingcupslip {

/// Holds a body of at most `max_bytes`. Unlike Beast's own bodies it allocates
/// nothing for a length that is announced but not received: Boost 1.74 does so
/// before it compares the length with the limit of the parser.
struct bounded_body {
  struct value_type {
    body_bytes bytes;
    std::size_t max_bytes = 0;
  };

  class reader {
  public:
    template <bool is_request, class fields>
    reader(boost::beast::http::header<is_request, fields>&, value_type& body)
        : m_body(body) {}

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& ec) {
      ec = {};
      if (length && *length > m_body.max_bytes) {
        ec = boost::beast::http::error::body_limit;
      }
      m_length = length;
    }

    template <class buffers>
    std::size_t put(const buffers& received, boost::system::error_code& ec) {
      ec = {};
      const std::size_t n = boost::asio::buffer_size(received);
      if (n > m_body.max_bytes - m_body.bytes.size()) {
        ec = boost::beast::http::error::body_limit;
        return 0;
      }
      grow(m_body.bytes.size() + n);
      for (const boost::asio::const_buffer it :
           boost::beast::buffers_range_ref(received)) {
        const std::uint8_t* first = static_cast<const std::uint8_t*>(it.data());
        m_body.bytes.insert(m_body.bytes.end(), first, first + it.size());
      }
      return n;
    }

    void finish(boost::system::error_code& ec) { ec = {}; }

  private:
    /// Doubles the capacity, up to the announced length.
    void grow(std::size_t size) {
      const std::size_t capacity = m_body.bytes.capacity();
      if (m_length && size > capacity) {
        const std::size_t doubled = std::max(size, 2 * capacity);
        m_body.bytes.reserve(std::min<std::uint64_t>(
            doubled, std::max<std::uint64_t>(*m_length, size)));
      }
    }

    value_type& m_body;
    boost::optional<std::uint64_t> m_length;
  };
};

} // namespace kingcupslip

#endif
