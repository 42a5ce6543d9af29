#include "value_packing.h"

#include <zlib.h>

#include <stdexcept>

namespace cyclamen {

std::string pack_value(std::string_view value)
{
    uLongf size = compressBound(static_cast<uLong>(value.size()));
    std::string packed(size, '\0');
    // The lowest level: entries have a fraction of a core, and documents shrink to a sixth.
    if (compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
                  reinterpret_cast<const Bytef*>(value.data()), static_cast<uLong>(value.size()),
                  Z_BEST_SPEED) != Z_OK) {
        throw std::runtime_error("cannot compress a value: out of memory");
    }
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpack_value(std::string_view packed, std::size_t bytes)
{
    std::string value(bytes, '\0');
    uLongf size = static_cast<uLongf>(bytes);
    const int result = uncompress(reinterpret_cast<Bytef*>(value.data()), &size,
                                  reinterpret_cast<const Bytef*>(packed.data()),
                                  static_cast<uLong>(packed.size()));
    if (result != Z_OK || size != bytes) {
        return std::nullopt;
    }
    return value;
}

} // namespace cyclamen
