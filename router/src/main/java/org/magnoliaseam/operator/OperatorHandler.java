package org.magnoliaseam.operator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles HTTP requests at the operators' port. The first segment of the path selects the page. */
public final class OperatorHandler extends Handler.Abstract {

    /** The pages by name. */
    private final Map<String, OperatorPage> mPages;

    /**
     * Creates a handler.
     *
     * @param pages the pages by name, without slashes
     */
    public OperatorHandler(Map<String, OperatorPage> pages) {
        mPages = Map.copyOf(pages);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request).substring(1);
        int slash = path.indexOf('/');
        String name = slash < 0 ? path : path.substring(0, slash);
        String rest = slash < 0 ? "" : path.substring(slash + 1);
        String query = request.getHttpURI().getQuery();
        OperatorPage page = mPages.get(name);
        PageContent content =
                page == null
                        ? PageContent.notFound("No page has this name.")
                        : page.render(rest, query == null ? "" : query);
        response.setStatus(content.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.mediaType());
        byte[] bytes = content.text().getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
        return true;
    }
}
