#pragma once

namespace cyclamen {

/// Selects how a TCP connection ends when its socket is closed, also by the end of the process:
/// with a reset, which discards unsent bytes, or in order.  An answer that is delimited by the end
/// of its connection looks whole if it ends in order.  Failures are ignored.
void set_reset_on_close(int socket, bool reset);

/// Ends a TCP connection with a reset, before anything else can end it in order.
void reset_connection(int socket);

} // namespace cyclamen
