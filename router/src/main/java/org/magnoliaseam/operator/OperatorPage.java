package org.magnoliaseam.operator;

/** Renders one page of the operators' port. */
@FunctionalInterface
public interface OperatorPage {

    /**
     * Renders the page.
     *
     * @param rest the path after the name of the page, without the leading slash; may be empty
     * @param query the query of the request; may be empty
     * @return the page
     */
    PageContent render(String rest, String query);
}
