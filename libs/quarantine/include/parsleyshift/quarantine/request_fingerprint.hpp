#pragma once

#include <parsleyshift/core/ids.hpp> // fingerprint, customer_id, service_id

#include <string_view> // string_view

namespace parsleyshift
{

/// @brief Hash that identifies a request across resends and instances. Linear in the length of the content.
/// @param operation operation of a plain service; empty for generations
/// @param content the prompt of a generation, or the payload for a plain service
fingerprint request_fingerprint(const customer_id& customer, const service_id& service, std::string_view operation,
                                std::string_view content);

/// @brief Hash that identifies a part of a prompt across requests and instances.
/// @param part id of the part, as the caller sent it
fingerprint prompt_part_fingerprint(std::string_view part);

} // namespace parsleyshift
