#pragma once

#include <dandeliontack/http.hpp>
#include <dandeliontack/http_server.hpp>
#include <dandeliontack/settings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace dandeliontack
{

/// A bearer token, as `[api] tokens` lists it: `NAME:SECRET:TEAM`, where the
/// team `*` stands for all.
struct api_token
{
    /// Who holds it, for logs.
    std::string name;
    std::string secret;
    /// The one team whose values it shows; empty for all teams.
    std::string team;
};

/// Reads a token; nothing where it is not of that form, or where its secret
/// has fewer than 16 characters.
std::optional<api_token> parse_api_token(std::string_view text);

/// Adds a finding for each token that can't be read and each secret that
/// stands twice. Secrets are never part of a finding.
void check_tokens(
    const ini_document& document, const api_settings& settings,
    findings& found);

/// What the sender of a request may see.
struct api_access
{
    /// The one team whose values are shown; empty for all teams.
    std::string team;

    bool sees_all() const
    {
        return team.empty();
    }
    bool sees(std::string_view other) const
    {
        return sees_all() || team == other;
    }
};

/// What a request's bearer token gives access to; nothing without a token
/// that the settings list, unless they leave the API open.
std::optional<api_access>
access_of(const api_settings& settings, const http_request& request);

/// Lets health pages through to `next` always, metrics with a token for all
/// teams, and anything else with any token. The rest is refused with 401 or
/// 403. `settings` must outlive the handler.
http_server::handler
with_tokens(const api_settings& settings, http_server::handler next);

} // namespace dandeliontack
