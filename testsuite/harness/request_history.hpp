#pragma once

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// What a caller got for one copy of a request.
enum class copy_end
{
    answered,
    /// A whole answer by which the upstream itself says that it failed.
    failed,
    not_run,
    unknown,
    /// No connection was made.
    unreached,
    /// The connection ended, or the time passed, without a whole response.
    cut
};

/// One copy of a request, as its caller saw it. The token names the request
/// and is part of its target.
struct caller_record
{
    std::string token;
    bool idempotent = true;
    copy_end end = copy_end::cut;
    std::string body;
};

/// How often the upstreams started each request, by its token.
using run_counts = std::map<std::string, unsigned>;

/// Adds what a worker's history file says.
void read_runs(const std::filesystem::path& file, run_counts& runs);

/// What a run of whole processes may do to callers.
struct history_rules
{
    /// Whether a connection may be cut; a planned stop cuts none.
    bool may_cut = false;
};

/// Joins the callers' and the upstreams' records and returns every breach:
/// an answer to another request or not whole, a second run of a
/// non-idempotent request, a run of one that was refused as `not-run`, an
/// answer without a run, a cut where none may be.
std::vector<std::string> check_history(
    const std::vector<caller_record>& callers, const run_counts& runs,
    const history_rules& rules);

std::size_t count_of(const std::vector<caller_record>& callers, copy_end end);

} // namespace dandeliontack::harness
