package org.magnoliaseam.route;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.magnoliaseam.settings.LocalSettings;

/** Wires a router process. */
@Singleton
@Component(modules = {RouteModule.class, ServerModule.class, OperatorModule.class})
public interface RouteComponent {

    /**
     * Returns the process.
     *
     * @return the process, not yet started
     */
    RouteProcess process();

    /** Creates components. */
    @Component.Factory
    interface Factory {

        /**
         * Creates a component.
         *
         * @param settings the settings of the process
         * @return the component
         */
        RouteComponent create(@BindsInstance LocalSettings settings);
    }
}
