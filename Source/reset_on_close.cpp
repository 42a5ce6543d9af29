#include "reset_on_close.h"

#include <sys/socket.h>

namespace cyclamen {

void set_reset_on_close(int socket, bool reset)
{
    const struct linger mode {
        .l_onoff = reset ? 1 : 0, .l_linger = 0
    };
    static_cast<void>(setsockopt(socket, SOL_SOCKET, SO_LINGER, &mode, sizeof mode));
}

void reset_connection(int socket)
{
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(connect(socket, &unspecified, sizeof unspecified));
}

} // namespace cyclamen
