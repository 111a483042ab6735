#ifndef RADISHRUDDER_EXCHANGE_ADDRESS_H_
#define RADISHRUDDER_EXCHANGE_ADDRESS_H_

#include <string_view>

namespace radishrudder::exchange {

// Returns whether the text is an address to which a connection can be made:
// "IP:PORT" with an IPv4 address and a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace radishrudder::exchange

#endif  // RADISHRUDDER_EXCHANGE_ADDRESS_H_
