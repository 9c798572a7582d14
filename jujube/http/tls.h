// TLS configuration of the server, based on OpenSSL.
#ifndef JUJUBE_HTTP_TLS_H_
#define JUJUBE_HTTP_TLS_H_

#include <memory>

#include "jujube/base/result.h"
#include "jujube/http/channel.h"
#include "jujube/http/server.h"

namespace jujube::http {

// Loads the certificate chain and the private key. Returns InvalidArgument with
// the file name if a file can't be used or the key does not match the
// certificate.
Result<std::shared_ptr<SSL_CTX>> makeTlsContext(const TlsFiles &files);

} // namespace jujube::http

#endif // JUJUBE_HTTP_TLS_H_
