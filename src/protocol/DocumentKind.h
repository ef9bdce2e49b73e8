#pragma once

namespace chicoryferry {

// The two versioned documents that the platform publishes.
enum class DocumentKind {
    Configuration,
    Instances,
};

inline constexpr DocumentKind documentKinds[] = { DocumentKind::Configuration, DocumentKind::Instances };

// The name used in URL paths, logs and metrics.
constexpr const char* documentKindName(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? "configuration" : "instances";
}

}
