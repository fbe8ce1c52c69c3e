#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// Why an owner did not accept a submission.
enum class refusal_cause : std::uint8_t
{
    /// The owner can't accept submissions at the moment.
    unavailable,
    /// The account has sent more than it is entitled to, and the pool has no
    /// room for that in time.
    beyond_share
};

std::string_view to_string(refusal_cause cause);

struct submission_refusal
{
    refusal_cause cause = refusal_cause::unavailable;
    /// After which the account may come back; 0 if that is not known.
    std::chrono::milliseconds retry_after{0};

    bool operator==(const submission_refusal&) const = default;
};

/// The text in which nodes pass a refusal on: `CAUSE MILLISECONDS`. Any other
/// text, as from nodes of earlier versions, decodes as `unavailable`.
std::string encode(const submission_refusal& refusal);
submission_refusal decode_submission_refusal(std::string_view text);

} // namespace dandeliontack
