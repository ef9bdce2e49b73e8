#pragma once

namespace chicoryferry {

// The two versioned documents that the platform publishes.
enum class DocumentKind {
    Configuration,
    Instances,
};

inline constexpr DocumentKind documentKinds[] = { DocumentKind::Configuration, DocumentKind::Instances };

// The name in paths, logs and counters.
constexpr const char* documentKindName(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? "configuration" : "instances";
}

}
