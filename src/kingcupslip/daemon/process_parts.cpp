// Endpoints, plain answers and randomness of the daemons.
#include "kingcupslip/daemon/process_parts.hpp"

#include <boost/asio/ip/address.hpp>

#include <memory>
#include <random>

namespace kingcupslip {

boost::asio::ip::tcp::endpoint endpoint_of(const listen_address& a) {
  return {boost::asio::ip::make_address(a.ip), a.port};
}

outcome plain_answer(std::uint16_t status, const std::string& type,
                     const std::string& text) {
  outcome out;
  out.ran = verdict::ran;
  out.status = status;
  out.headers.push_back({"Content-Type", type});
  out.body.assign(text.begin(), text.end());
  return out;
}

member_table::random_source make_random() {
  std::random_device seed;
  const std::shared_ptr<std::mt19937_64> engine =
      std::make_shared<std::mt19937_64>(
          (static_cast<std::uint64_t>(seed()) << 32U) | seed());
  return [engine] { return (*engine)(); };
}

} // namespace kingcupslip
