#pragma once

#include <string>

namespace mulberryramp::test {

/// @brief Sends a text on a blocking socket, as far as the peer accepts it.
void sendAll(int Socket, const std::string &Text);

/// @brief Receives until the connection ends or the time-out of the socket.
[[nodiscard]] std::string receiveAll(int Socket);

} // namespace mulberryramp::test
