#pragma once

#include <parsleyshift/core/ids.hpp> // fingerprint, customer_id, service_id

#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Recognises the same request over resends and instances. Linear in the length of the content.
/// @param operation of a plain service; empty for generations
/// @param content the prompt or the payload
fingerprint request_fingerprint(const customer_id& customer, const service_id& service, std::string_view operation,
                                std::string_view content);

} // namespace parsleyshift
