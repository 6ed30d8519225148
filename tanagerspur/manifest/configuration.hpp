// The fleet's configuration as a host holds it: the newest manifest that it has seen. It only
// ever goes forward, whatever the store, a peer or a late answer says.

#ifndef TANAGERSPUR_MANIFEST_CONFIGURATION_HPP
#define TANAGERSPUR_MANIFEST_CONFIGURATION_HPP

#include "tanagerspur/manifest/manifest.hpp"

#include <memory>
#include <optional>
#include <string>

namespace tanagerspur
{

// A manifest as kept in the store.
struct stored_manifest
{
    generation number;
    // Names the apply that wrote it, so that its author can tell after a lost reply.
    std::string operation;
    // INI text of the manifest.
    std::string text;
};

std::string serialize(const stored_manifest& value);
std::optional<stored_manifest> parse_stored_manifest(const std::string& text);

enum class install_outcome
{
    installed,
    not_newer,
    malformed
};

class configuration
{
public:
    // Takes the text of a stored manifest if its generation is larger than the present one.
    install_outcome install(const std::string& stored_text);

    generation current() const { return m_stored.number; }
    // Null before the first install.
    std::shared_ptr<const manifest> present() const { return m_present; }
    const stored_manifest& stored() const { return m_stored; }
    // The text that install took last, to pass on to a peer.
    const std::string& stored_text() const { return m_stored_text; }

private:
    stored_manifest m_stored;
    std::string m_stored_text;
    std::shared_ptr<const manifest> m_present;
};

} // namespace tanagerspur

#endif
